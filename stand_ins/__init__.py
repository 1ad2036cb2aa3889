"""Stand-ins for backend servers and the platform; not part of the product."""
