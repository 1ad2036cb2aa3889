"""Tests of TLS contexts and certificate reloading."""
