"""Operators' declarations: parsing, validation, planning and application."""
