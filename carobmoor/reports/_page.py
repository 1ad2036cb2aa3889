"""Rendering of the burn report as a self-contained HTML page with plots."""

import html
import io
import time
from collections.abc import Sequence
from typing import Final

from matplotlib.axes import Axes
from matplotlib.figure import Figure
from matplotlib.ticker import MaxNLocator

from carobmoor.burn import Cause, RankBurn
from carobmoor.reports._table import format_causes

_S_PER_MIN: Final = 60
_PLOT_WIDTH_INCHES: Final = 9
_PLOT_HEIGHT_INCHES: Final = 3.2
_COLOURS: Final = ('#2f6f9f', '#c1512f', '#8a6d3b', '#6b4f9e', '#3f7d4f')
_ALERT_BURN_RATE: Final = 1
_STYLE: Final = """
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto;
  max-width: 62rem; padding: 0 1rem; color: #1d2429; background: #fff; }
h1 { font-size: 1.6rem; margin-bottom: 0; }
h2 { font-size: 1.15rem; margin-top: 2.2rem; }
p.note { color: #55626b; margin-top: .2rem; }
table { border-collapse: collapse; width: 100%; font-size: .92rem; }
th, td { padding: .35rem .6rem; text-align: right;
  border-bottom: 1px solid #dde3e7; font-variant-numeric: tabular-nums;
  white-space: nowrap; }
th { color: #55626b; font-weight: 600; }
th.name, td.name { text-align: left; }
td.hot { color: #a1301a; font-weight: 700; }
svg { max-width: 100%; height: auto; }
"""


def render_page(burns: Sequence[RankBurn], now_s: float, source: str) -> str:
    """Return the page.

    `now_s` is Unix time; `source` names the node or the file that was read.
    """
    report_time = time.strftime('%Y-%m-%d %H:%M UTC', time.gmtime(now_s))
    return '\n'.join(
        (
            '<!doctype html><html lang="en"><head><meta charset="utf-8">',
            '<meta name="viewport" content="width=device-width">',
            f'<title>Service-level burn</title><style>{_STYLE}</style>',
            '</head><body><h1>Service-level burn</h1>',
            f'<p class="note">{report_time}, from {html.escape(source)}</p>',
            _render_table(burns),
            '<h2>Burn rate by minute</h2>',
            '<p class="note">At 1 the budget is spent just as fast as the '
            'objective allows.</p>',
            _render_plot(burns, _draw_rates),
            '<h2>Causes of bad answers</h2>',
            _render_plot(burns, _draw_causes),
            '</body></html>',
        ),
    )


def _render_table(burns: Sequence[RankBurn]) -> str:
    headings = ('target', 'p50', 'p99', '5 min', '30 min', '1 h', '6 h', 'left')
    head = ''.join(f'<th>{name}</th>' for name in headings)
    rows = ''.join(_render_row(burn) for burn in burns)
    return (
        '<table><tr><th class="name">service</th><th class="name">rank</th>'
        f'{head}<th class="name">causes</th></tr>{rows}</table>'
    )


def _render_row(burn: RankBurn) -> str:
    objective = burn.objective
    rates = ''.join(
        _render_rate_cell(window.burn_rate) for window in burn.windows
    )
    return (
        f'<tr><td class="name">{html.escape(objective.service)}</td>'
        f'<td class="name">{html.escape(objective.rank)}</td>'
        f'<td>{objective.target_latency_ms} ms</td>'
        f'<td>{burn.p50_ms:.1f} ms</td><td>{burn.p99_ms:.1f} ms</td>'
        f'{rates}<td>{burn.budget_remaining:.0%}</td>'
        f'<td class="name">{html.escape(format_causes(burn))}</td></tr>'
    )


def _render_rate_cell(burn_rate: float) -> str:
    css_class = ' class="hot"' if burn_rate > _ALERT_BURN_RATE else ''
    return f'<td{css_class}>{burn_rate:.1f}</td>'


def _render_plot(burns: Sequence[RankBurn], draw: object) -> str:
    figure = Figure(
        figsize=(_PLOT_WIDTH_INCHES, _PLOT_HEIGHT_INCHES), layout='constrained'
    )
    axes = figure.subplots()
    axes.spines[['top', 'right']].set_visible(False)
    if callable(draw):
        draw(axes, burns)
    image = io.StringIO()
    figure.savefig(image, format='svg')
    return image.getvalue().partition('<svg')[2].join(('<svg', ''))


def _draw_rates(axes: Axes, burns: Sequence[RankBurn]) -> None:
    newest_minute = max(
        (minute for burn in burns for minute, _ in burn.rate_by_minute),
        default=0,
    )
    for burn in burns:
        ago_min = [minute - newest_minute for minute, _ in burn.rate_by_minute]
        rates = [rate for _, rate in burn.rate_by_minute]
        axes.plot(ago_min, rates, marker='.', label=_rank_label(burn))
    axes.axhline(_ALERT_BURN_RATE, color='#888', linewidth=1, linestyle='--')
    axes.set_xlabel('minutes before the newest')
    axes.set_ylabel('burn rate')
    axes.set_ylim(bottom=0)
    axes.xaxis.set_major_locator(MaxNLocator(integer=True))
    if burns:
        _place_legend_beside(axes)


def _draw_causes(axes: Axes, burns: Sequence[RankBurn]) -> None:
    names = [_rank_label(burn) for burn in burns]
    left = [0 for _ in burns]
    for cause, colour in zip(Cause, _COLOURS, strict=True):
        counts = [burn.bad_by_cause.get(cause.value, 0) for burn in burns]
        label = cause.value.replace('_', ' ')
        axes.barh(names, counts, left=left, label=label, color=colour)
        left = [sum(pair) for pair in zip(left, counts, strict=True)]
    axes.set_xlabel('bad answers in six hours')
    axes.invert_yaxis()
    _place_legend_beside(axes)


def _place_legend_beside(axes: Axes) -> None:
    axes.legend(
        frameon=False,
        fontsize='small',
        loc='upper left',
        bbox_to_anchor=(1, 1),
    )


def _rank_label(burn: RankBurn) -> str:
    return f'{burn.objective.service} / {burn.objective.rank}'
