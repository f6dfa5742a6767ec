package org.ibissaddle.cli.timeline;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.ibissaddle.id.Address;
import org.ibissaddle.timeline.EventRingBuffer;
import org.ibissaddle.timeline.Gap;
import org.ibissaddle.timeline.Timeline;
import org.ibissaddle.timeline.TimelineFormatException;
import org.ibissaddle.timeline.TimelineJson;

/** Fetches the events of instances and merges them into a timeline. */
public final class TimelineCollector {
    private static final long TIMEOUT_MS = 3_000;

    private final OkHttpClient http = new OkHttpClient.Builder()
            .callTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .build();

    /**
     * Collects the timeline.
     *
     * @param controls control addresses of the instances
     * @return the merged timeline; instances that could not be read appear as gaps
     */
    public Timeline collect(List<Address> controls) {
        List<EventRingBuffer.Snapshot> rings = new ArrayList<>();
        List<Gap.Unanswered> unanswered = new ArrayList<>();
        for (Address control : controls) {
            try {
                rings.add(TimelineJson.read(get(control)));
            } catch (IOException | TimelineFormatException e) {
                unanswered.add(new Gap.Unanswered(control.toString(), String.valueOf(e.getMessage())));
            }
        }
        return Timeline.merge(rings, unanswered);
    }

    private String get(Address control) throws IOException {
        Request request =
                new Request.Builder().url("http://" + control + "/timeline").build();
        try (Response response = http.newCall(request).execute()) {
            if (response.code() != 200) {
                throw new IOException("HTTP status " + response.code());
            }
            return response.body().string();
        }
    }
}
