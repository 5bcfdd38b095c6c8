"""Distribution of configuration: config servers agree on versions, every dispatcher watches one of them."""
