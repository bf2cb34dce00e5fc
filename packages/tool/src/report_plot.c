/* Draws SVG elements with cairo. They hold no text, so that no font is needed;
   the HTML page has the labels. */
#include "report.h"

#include <cairo-svg.h>
#include <string.h>

/* Sizes in pixels. */
#define BARS_WIDTH 240
#define BARS_HEIGHT 18
#define BAR_HEIGHT 8
#define CURVE_WIDTH 640
#define CURVE_HEIGHT 140
#define LINE_WIDTH 1.5
#define GRID_INTERVALS 4

typedef struct tl_color {
    double red; /* 0 to 1, as are the others */
    double green;
    double blue;
} tl_color;

static const tl_color color_baseline = {0.62, 0.62, 0.62};
static const tl_color color_ours = {0.12, 0.40, 0.70};
static const tl_color color_grid = {0.88, 0.88, 0.88};

/* -- private: surface ----------------------------------------------------- */

static cairo_status_t
_tl_append_svg(void *closure, const unsigned char *data, unsigned int length)
{
    g_string_append_len(closure, (const char *)data, (gssize)length);
    return CAIRO_STATUS_SUCCESS;
}

static cairo_t *
_tl_begin_svg(GString *svg, double width, double height)
{
    cairo_surface_t *surface = cairo_svg_surface_create_for_stream(
        _tl_append_svg, svg, width, height);
    cairo_svg_surface_set_document_unit(surface, CAIRO_SVG_UNIT_PX);
    cairo_t *cairo = cairo_create(surface);
    cairo_surface_destroy(surface);
    return cairo;
}

/* Finishes the drawing and returns the svg element alone: the XML declaration
   before it is not allowed within an HTML page. */
static char *
_tl_end_svg(cairo_t *cairo, GString *svg)
{
    cairo_surface_finish(cairo_get_target(cairo));
    cairo_destroy(cairo);
    const char *start = strstr(svg->str, "<svg");
    char *text = g_strdup(start ? start : "");
    g_string_free(svg, TRUE);
    return text;
}

static void
_tl_set_color(cairo_t *cairo, const tl_color *color)
{
    cairo_set_source_rgb(cairo, color->red, color->green, color->blue);
}

static void
_tl_draw_bar(cairo_t *cairo, double top, double share, const tl_color *color)
{
    _tl_set_color(cairo, color);
    cairo_rectangle(cairo, 0, top, CLAMP(share, 0, 1) * BARS_WIDTH,
                    BAR_HEIGHT);
    cairo_fill(cairo);
}

static void
_tl_draw_grid(cairo_t *cairo)
{
    _tl_set_color(cairo, &color_grid);
    cairo_set_line_width(cairo, 1);
    for (uint32_t i = 0; i <= GRID_INTERVALS; i++) {
        double y = (double)i * CURVE_HEIGHT / GRID_INTERVALS;
        cairo_move_to(cairo, 0, y);
        cairo_line_to(cairo, CURVE_WIDTH, y);
    }
    cairo_stroke(cairo);
}

/* -- public --------------------------------------------------------------- */

char *
tl_plot_bars(double baseline, double ours, double largest)
{
    GString *svg = g_string_new(NULL);
    cairo_t *cairo = _tl_begin_svg(svg, BARS_WIDTH, BARS_HEIGHT);
    double scale = largest > 0 ? largest : 1;
    _tl_draw_bar(cairo, 0, baseline / scale, &color_baseline);
    _tl_draw_bar(cairo, BAR_HEIGHT + 1, ours / scale, &color_ours);
    return _tl_end_svg(cairo, svg);
}

char *
tl_plot_curve(const tl_series *series)
{
    GString *svg = g_string_new(NULL);
    cairo_t *cairo = _tl_begin_svg(svg, CURVE_WIDTH, CURVE_HEIGHT);
    _tl_draw_grid(cairo);
    uint32_t count = series->at_ms->len;
    double first = g_array_index(series->at_ms, double, 0);
    double last = g_array_index(series->at_ms, double, count - 1);
    double span = last > first ? last - first : 1;
    double largest = tl_series_query_largest(series);
    double scale = largest > 0 ? largest : 1;
    _tl_set_color(cairo, &color_ours);
    cairo_set_line_width(cairo, LINE_WIDTH);
    for (uint32_t i = 0; i < count; i++) {
        double at = g_array_index(series->at_ms, double, i) - first;
        double value = g_array_index(series->value, double, i);
        cairo_line_to(cairo, at / span * CURVE_WIDTH,
                      CURVE_HEIGHT - value / scale * CURVE_HEIGHT);
    }
    cairo_stroke(cairo);
    return _tl_end_svg(cairo, svg);
}
