"""Define constants of the platform service."""

DOMAIN = 'platform'
