"""Tables, plots, comparisons and Markdown made from results."""
