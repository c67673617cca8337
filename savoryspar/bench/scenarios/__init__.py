"""One module for each group of scenarios; ``catalog`` lists them."""
