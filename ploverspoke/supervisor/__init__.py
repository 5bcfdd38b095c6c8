"""Several dispatcher processes on one machine behind one address, and the parent that supervises them."""
