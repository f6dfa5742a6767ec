package org.ibissaddle.daemon.control;

import io.jooby.Jooby;

/** A set of routes of the control port. */
@FunctionalInterface
public interface ControlRoutes {
    /**
     * Registers the routes.
     *
     * @param app Jooby application of the control port
     */
    void addTo(Jooby app);
}
