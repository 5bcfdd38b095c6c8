"""A soak: one real dispatcher through signals, restarts and faults of discovery, with clients that stay."""
