package org.ibissaddle.cli.load;

import java.io.PrintStream;
import java.util.List;
import org.ibissaddle.cli.call.GatewayClient;
import org.ibissaddle.cli.status.InstanceStatus;
import org.ibissaddle.cli.status.StatusCollector;

/**
 * Runs a load test against a deployment.
 *
 * <pre>{@code
 * LoadRunner.Result result = LoadRunner.run(plan, System.out);
 * System.out.print(result.text());
 * }</pre>
 */
public final class LoadRunner {
    private static final long STATUS_TIMEOUT_MS = 2_000;

    private LoadRunner() {}

    /**
     * Result of a load test.
     *
     * @param text report as plain text
     * @param html report as a self-contained HTML page
     * @param started requests started
     * @param answered requests answered completely
     */
    public record Result(String text, String html, long started, long answered) {}

    /**
     * Generates the load of a plan and waits for the last response.
     *
     * @param plan load to generate
     * @param progress stream that receives one progress line per second
     * @return the reports
     * @throws InterruptedException when the thread is interrupted
     */
    public static Result run(LoadPlan plan, PrintStream progress) throws InterruptedException {
        try (GatewayClient client = new GatewayClient();
                StatusCollector collector = new StatusCollector(STATUS_TIMEOUT_MS)) {
            LoadStatistics statistics = new LoadGenerator(plan, client, progress).run();
            List<InstanceStatus> fleet = collector.collect(plan.controls());
            LoadReport report = new LoadReport(plan, statistics, CrossRegionStats.of(statistics.routes(), fleet));
            return new Result(report.text(), report.html(), statistics.startedCount(), statistics.answeredCount());
        }
    }
}
