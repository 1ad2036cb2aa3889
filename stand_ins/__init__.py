"""Small stand-ins for what carobmoor stands between; no part of it."""
