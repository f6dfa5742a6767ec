package org.ibissaddle.cli.load;

import java.io.PrintStream;
import java.util.List;
import org.ibissaddle.cli.call.GatewayCaller;
import org.ibissaddle.cli.status.InstanceStatus;
import org.ibissaddle.cli.status.StatusCollector;

/**
 * Sends load to a deployment.
 *
 * <pre>{@code
 * Load.Result result = Load.run(plan, System.out);
 * System.out.print(result.text());
 * }</pre>
 */
public final class Load {
    private static final long STATUS_TIMEOUT_MS = 2_000;

    private Load() {}

    /**
     * What a run gave.
     *
     * @param text a report for a terminal
     * @param html a report as one page
     * @param started requests started
     * @param answered requests answered whole
     */
    public record Result(String text, String html, long started, long answered) {}

    /**
     * Sends the load of a plan and waits for the last answer.
     *
     * @param plan what to send
     * @param progress where a line goes each second
     * @return the reports
     * @throws InterruptedException when the thread is interrupted
     */
    public static Result run(LoadPlan plan, PrintStream progress) throws InterruptedException {
        try (GatewayCaller caller = new GatewayCaller();
                StatusCollector collector = new StatusCollector(STATUS_TIMEOUT_MS)) {
            Tally tally = new LoadRun(plan, caller, progress).run();
            List<InstanceStatus> fleet = collector.collect(plan.controls());
            LoadReport report = new LoadReport(plan, tally, SentAway.of(tally.routes(), fleet));
            return new Result(report.text(), report.html(), tally.startedCount(), tally.answeredCount());
        }
    }
}
