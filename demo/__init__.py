"""Demo: the Adeyemi example in small, with a graceful stop and a kill."""
