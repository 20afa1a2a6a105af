"""Declarations of operators: parsing, validation, plans and their application."""
