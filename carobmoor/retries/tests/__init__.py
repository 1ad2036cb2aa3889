"""Tests of the budgets for retries and hedges."""
