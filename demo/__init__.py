"""The demonstration: Adeyemi in small, with a graceful stop and a kill."""
