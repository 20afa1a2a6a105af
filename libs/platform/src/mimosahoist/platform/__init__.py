"""The platform's object API: interface, HTTP client and versioned copies."""
