package org.acaciapond.bench.rollout;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Plots of the share of the new version over time, one file per case. */
final class SharePlot {

  private static final int MAX_CURVES = 10;
  private static final int WIDTH = 800;
  private static final int HEIGHT = 450;

  private SharePlot() {}

  static void write(Path directory, List<RolloutReport.CaseResults> all, Policy policy)
      throws IOException {
    Files.createDirectories(directory);
    for (RolloutReport.CaseResults each : all) {
      String name = policy.label() + "-" + each.test().name().replaceAll("[^A-Za-z0-9_-]", "_");
      BitmapEncoder.saveBitmap(
          chart(each, policy), directory.resolve(name).toString(), BitmapEncoder.BitmapFormat.PNG);
    }
  }

  private static XYChart chart(RolloutReport.CaseResults each, Policy policy) {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(each.test().name() + ", " + policy.label())
            .xAxisTitle("seconds")
            .yAxisTitle("share of calls to the new version")
            .build();
    chart.getStyler().setLegendVisible(false);
    int curves = Math.min(MAX_CURVES, each.results().size());
    for (int run = 0; run < curves; run++) {
      List<Double> shares = each.results().get(run).curve();
      List<Integer> seconds = IntStream.range(0, shares.size()).boxed().toList();
      chart.addSeries("run " + run, seconds, shares).setMarker(SeriesMarkers.NONE);
    }
    return chart;
  }
}
