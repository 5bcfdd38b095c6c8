"""Tables, plots, comparisons and Markdown pages that present results."""
