"""Reports for operators: tables for the terminal and pages with plots.

Plots need a large library; a node never imports this package.
"""

from carobmoor.reports._page import render_page
from carobmoor.reports._table import render_table

__all__ = ['render_page', 'render_table']
