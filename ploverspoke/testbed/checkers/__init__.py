"""Independent checkers of recorded histories; they share no code with what they check."""
