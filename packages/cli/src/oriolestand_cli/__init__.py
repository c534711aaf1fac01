"""Command-line client for the admin interface of the daemons."""
