"""Reports for operators: terminal tables and HTML pages with plots.

The plotting library is large, so a node must never import this package.
"""

from carobmoor.reports._page import render_page
from carobmoor.reports._table import render_table

__all__ = ['render_page', 'render_table']
