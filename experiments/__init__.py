"""Experiments: an experiment file names runs, runs give records, records give a page and comparisons.

Data flows one way: `plan` (the file), `play` (one run), `runner` (all runs, over the cores), `results` (the
folder), then `noise`, `page` and `chart` (what is read off it). `command` has the commands.
"""
