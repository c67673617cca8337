"""Stand-ins and process control for the scripts of cases 6 to 10."""
