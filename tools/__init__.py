"""Tools of the repository; no part of the product."""
