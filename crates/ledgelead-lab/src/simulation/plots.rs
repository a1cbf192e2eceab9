//! Plots in SVG format.

use super::timeline::Sample;
use plotters::coord::Shift;
use plotters::prelude::*;

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (960, 300);
/// Font size of the title.
const CAPTION_SIZE: u32 = 18;
/// Line colours that are distinguishable with colour blindness (M. Okabe, K. Ito, "Color
/// Universal Design", 2008).
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
];
const MARK: RGBColor = RGBColor(170, 170, 170);

/// A named line.
pub struct Line {
    /// Name in the legend.
    pub name: String,
    /// Points in ascending order of their x values.
    pub points: Vec<Sample>,
}

/// Contents of a plot.
pub struct Plot<'a> {
    /// Title.
    pub title: &'a str,
    /// Label of the x axis, with the unit.
    pub x_label: &'a str,
    /// Label of the y axis, with the unit.
    pub y_label: &'a str,
    /// Lowest y value shown.
    pub y_from: f64,
    /// The lines; the first one is drawn thickest.
    pub lines: Vec<Line>,
    /// Position of the legend.
    pub legend: SeriesLabelPosition,
    /// Numbered marks on the x axis.
    pub marks: &'a [f64],
}

/// Formats an axis value without unnecessary digits.
fn short(value: f64) -> String {
    if value.abs() >= 10_000.0 {
        format!("{:.0}k", value / 1_000.0)
    } else if value.fract().abs() < 1e-6 {
        format!("{value:.0}")
    } else if value.abs() >= 10.0 {
        format!("{value:.1}")
    } else {
        format!("{value:.2}")
    }
}

type Failure = DrawingAreaErrorKind<std::io::Error>;

impl Plot<'_> {
    /// Renders the plot as an SVG element, or a sentence if there is no data.
    pub fn render(&self) -> String {
        let mut svg = String::new();
        let points = self.lines.iter().map(|line| line.points.len());
        if points.sum::<usize>() == 0 {
            return format!(
                "<p class=\"empty\">{}: nothing was measured.</p>",
                self.title
            );
        }
        let drawn = {
            let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
            self.draw(&area)
        };
        drawn.expect("an SVG in memory can be written");
        svg
    }

    fn draw(&self, area: &DrawingArea<SVGBackend, Shift>) -> Result<(), Failure> {
        area.fill(&WHITE)?;
        let (x_to, y_to) = self.upper_bounds();
        let mut chart = ChartBuilder::on(area)
            .caption(self.title, ("sans-serif", CAPTION_SIZE))
            .margin(8)
            .margin_right(24)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..x_to, self.y_from..y_to)?;
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .bold_line_style(RGBColor(228, 228, 228))
            .x_desc(self.x_label)
            .y_desc(self.y_label)
            .y_labels(6)
            .label_style(("sans-serif", 14))
            .x_label_formatter(&|value| short(*value))
            .y_label_formatter(&|value| short(*value))
            .draw()?;
        for (index, at) in self.marks.iter().enumerate() {
            let line = vec![(*at, self.y_from), (*at, y_to)];
            chart.draw_series(std::iter::once(PathElement::new(line, MARK)))?;
            let height = y_to - (y_to - self.y_from) * 0.06 * (index % 3) as f64;
            let number = (index + 1).to_string();
            let text = Text::new(number, (*at, height), ("sans-serif", 12));
            chart.draw_series(std::iter::once(text))?;
        }
        // Draw the first line last, so that it is on top.
        for (index, line) in self.lines.iter().enumerate().rev() {
            let width = if index == 0 { 2 } else { 1 };
            let style = COLOURS[index % COLOURS.len()].stroke_width(width);
            chart
                .draw_series(LineSeries::new(line.points.iter().copied(), style))?
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
        }
        if self.lines.len() > 1 {
            chart
                .configure_series_labels()
                .position(self.legend.clone())
                .background_style(WHITE.mix(0.85))
                .border_style(MARK)
                .label_font(("sans-serif", 13))
                .draw()?;
        }
        area.present()
    }

    fn upper_bounds(&self) -> (f64, f64) {
        const HEADROOM: f64 = 1.08;
        let points = self.lines.iter().flat_map(|line| &line.points);
        let (mut x_to, mut y_to) = (f64::MIN_POSITIVE, f64::MIN_POSITIVE);
        for (x, y) in points {
            x_to = x_to.max(*x);
            y_to = y_to.max(*y);
        }
        let above = (y_to - self.y_from).max(self.y_from.abs() * 0.1) * HEADROOM;
        (x_to, self.y_from + above)
    }
}
