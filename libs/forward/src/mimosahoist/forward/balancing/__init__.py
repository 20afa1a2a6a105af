"""Selection of the upstream for a call, and what is known of each upstream for it."""
