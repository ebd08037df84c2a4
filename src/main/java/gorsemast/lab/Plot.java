package gorsemast.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler.LegendPosition;

/**
 * Line chart over sizes with logarithmic axes, so that a power law is a straight line. Drawn by XChart in headless mode.
 *
 * <p>Not thread-safe. Points that are not above 0 cannot be shown on a logarithmic axis and are left out.
 */
public final class Plot {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 560;

    private final XYChart chart;
    private final double[] sizes;

    /** Creates an empty plot over these sizes. */
    public Plot(String title, String xTitle, String yTitle, double[] sizes) {
        System.setProperty("java.awt.headless", "true");
        this.sizes = sizes.clone();
        chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle(xTitle)
                .yAxisTitle(yTitle)
                .build();
        chart.getStyler()
                .setXAxisLogarithmic(true)
                .setYAxisLogarithmic(true)
                .setLegendPosition(LegendPosition.OutsideS);
    }

    /** Adds a line with a value for each size. */
    public Plot line(String name, double[] values) {
        int[] drawn = java.util.stream.IntStream.range(0, sizes.length)
                .filter(i -> values[i] > 0)
                .toArray();
        if (drawn.length > 0) {
            chart.addSeries(
                    name,
                    Arrays.stream(drawn).mapToDouble(i -> sizes[i]).toArray(),
                    Arrays.stream(drawn).mapToDouble(i -> values[i]).toArray());
        }
        return this;
    }

    /** Writes the plot as SVG, overwriting the file. */
    public void writeSvg(Path file) throws IOException {
        VectorGraphicsEncoder.saveVectorGraphic(chart, file.toString(), VectorGraphicsFormat.SVG);
    }
}
