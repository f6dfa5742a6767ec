package org.ibissaddle.daemon.control;

import io.jooby.Jooby;

/** Adds routes to the control port. */
@FunctionalInterface
public interface ControlRoutes {
    /**
     * Adds the routes.
     *
     * @param app the application of the control port
     */
    void addTo(Jooby app);
}
