"""Experiments: an experiment file defines simulation runs, whose records are compared and shown on a page.

`plan` reads the file, `play` carries out one run, `runner` all runs in parallel, and `results` reads and
writes the results folder. `noise` compares records, `page` and `chart` render the page. `command` has the
commands.
"""
