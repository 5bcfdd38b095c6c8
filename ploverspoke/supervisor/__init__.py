"""Several dispatchers on one machine behind one address, and who watches over them."""
