"""Development tools of the repository; not part of the product."""
