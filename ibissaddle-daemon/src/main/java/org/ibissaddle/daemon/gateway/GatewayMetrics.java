package org.ibissaddle.daemon.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.ibissaddle.id.WorkspaceId;

/** Counters and latency histograms of an instance, and their text format. */
final class GatewayMetrics {
    private static final String PREFIX = "ibissaddle_";
    private static final double[] QUANTILES = {0.5, 0.95, 0.99};

    /** Maximum number of workspaces with counters of their own; the requests of the others are summed. */
    private static final int MAX_WORKSPACES = 64;

    private static final String OTHER_WORKSPACES = "other";

    private final Set<String> workspaces = new HashSet<>();
    private final MetricRegistry registry = new MetricRegistry();
    private final Map<String, Integer> waitingByService = new ConcurrentHashMap<>();

    void recordResponse(String service, int status, long tookMs) {
        registry.counter("answers_total{status=\"" + status + "\"}").inc();
        registry.histogram("answer_ms{service=\"" + service + "\"}", GatewayMetrics::newSlidingWindowHistogram)
                .update(tookMs);
    }

    void recordRefusal(String service, int status) {
        registry.counter("refusals_total{service=\"" + service + "\",status=\"" + status + "\"}")
                .inc();
    }

    void recordAbortedResponse(String service) {
        registry.counter("broken_off_total{service=\"" + service + "\"}").inc();
    }

    /** Counts a request that waits for a server, or is held because its prompt would delay short ones. */
    void recordQueued(String service, boolean held) {
        registry.counter("queued_total{service=\"" + service + "\",held=\"" + held + "\"}")
                .inc();
    }

    /** Records the time from the arrival of a request until it left the queue for servers, sent or refused. */
    void recordQueueWait(String service, boolean sent, long waitedMs) {
        registry.histogram(
                        "queue_wait_ms{service=\"" + service + "\",sent=\"" + sent + "\"}",
                        GatewayMetrics::newSlidingWindowHistogram)
                .update(waitedMs);
    }

    /** Counts a new era of the platform's store, whose state is an older copy. */
    void recordStoreEra() {
        registry.counter("store_eras_total").inc();
    }

    /** Counts an answer of the store or changes of another instance that were ignored, since their era is over. */
    void recordOutdatedEra() {
        registry.counter("store_outdated_total").inc();
    }

    /** Counts a request that was sent to a backend server. */
    void recordSent(String service, String server) {
        registry.counter("sent_total{service=\"" + service + "\",server=\"" + server + "\"}")
                .inc();
    }

    /** Sets the number of requests that wait for a server now, and of those that can no longer be in time. */
    void setWaiting(String service, int waiting, int late) {
        waitingByService.put("waiting{service=\"" + service + "\",late=\"false\"}", waiting - late);
        waitingByService.put("waiting{service=\"" + service + "\",late=\"true\"}", late);
    }

    void recordRetry(String service) {
        registry.counter("retries_total{service=\"" + service + "\"}").inc();
    }

    void recordForward(String service) {
        registry.counter("forwarded_total{service=\"" + service + "\"}").inc();
    }

    void recordOutcome(String outcome) {
        registry.counter("requests_total{outcome=\"" + outcome + "\"}").inc();
    }

    void recordWorkspaceOutcome(WorkspaceId workspace, String outcome) {
        registry.counter("workspace_requests_total{workspace=\"" + label(workspace) + "\",outcome=\"" + outcome + "\"}")
                .inc();
    }

    void recordWorkspaceRefusal(WorkspaceId workspace, int status) {
        registry.counter("workspace_refusals_total{workspace=\"" + label(workspace) + "\",status=\"" + status + "\"}")
                .inc();
    }

    private String label(WorkspaceId workspace) {
        if (workspaces.size() < MAX_WORKSPACES) {
            workspaces.add(workspace.name());
        }
        return workspaces.contains(workspace.name()) ? workspace.name() : OTHER_WORKSPACES;
    }

    void recordQuota(String event, WorkspaceId workspace, long amount) {
        registry.counter("quota_" + event + "_total{workspace=\"" + label(workspace) + "\"}")
                .inc(amount);
    }

    void recordQuotaMessage(String result) {
        registry.counter("quota_messages_total{result=\"" + result + "\"}").inc();
    }

    /** Returns all metrics in the text exposition format. */
    String text() {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Counter> counter : registry.getCounters().entrySet()) {
            appendLine(text, counter.getKey(), counter.getValue().getCount());
        }
        waitingByService.forEach((name, waiting) -> appendLine(text, name, waiting));
        for (Map.Entry<String, Histogram> histogram : registry.getHistograms().entrySet()) {
            Snapshot snapshot = histogram.getValue().getSnapshot();
            for (double quantile : QUANTILES) {
                String labelled = histogram.getKey().replace("}", ",quantile=\"" + quantile + "\"}");
                appendLine(text, labelled, snapshot.getValue(quantile));
            }
        }
        return text.toString();
    }

    private static Histogram newSlidingWindowHistogram() {
        return new Histogram(new com.codahale.metrics.SlidingTimeWindowArrayReservoir(1, TimeUnit.MINUTES));
    }

    private static void appendLine(StringBuilder text, String name, Object value) {
        text.append(PREFIX).append(name).append(' ').append(value).append('\n');
    }
}
