"""Many real processes of the program on loopback, with faults between any two of them."""
