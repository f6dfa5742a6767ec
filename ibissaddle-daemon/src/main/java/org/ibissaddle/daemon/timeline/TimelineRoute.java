package org.ibissaddle.daemon.timeline;

import io.jooby.Jooby;
import io.jooby.MediaType;
import org.ibissaddle.daemon.control.ControlRoutes;
import org.ibissaddle.timeline.TimelineJson;

/** Adds {@code GET /timeline}: the most recent events of the instance. */
public final class TimelineRoute implements ControlRoutes {
    private final TimelineRecorder recorder;

    /**
     * Creates the route.
     *
     * @param recorder source of the events
     */
    public TimelineRoute(TimelineRecorder recorder) {
        this.recorder = recorder;
    }

    @Override
    public void addTo(Jooby app) {
        app.get("/timeline", ctx -> {
            ctx.setResponseType(MediaType.json);
            return TimelineJson.write(recorder.snapshot());
        });
    }
}
