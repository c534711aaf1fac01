"""Define constants of the admin service."""

DOMAIN = 'admin'
