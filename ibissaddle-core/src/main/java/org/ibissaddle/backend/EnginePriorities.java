package org.ibissaddle.backend;

import org.ibissaddle.route.Configuration;
import org.ibissaddle.route.Route;
import org.ibissaddle.route.WorkspaceSpec;

/** Priorities that engines are given, 0 (first) to 9, and which of them the configuration uses. */
final class EnginePriorities {
    private static final int LOWEST = 9;
    /** Fraction of its objective after which a long prompt is as urgent as a short one of the same priority. */
    private static final double WAITED_FRACTION = 0.3;

    private int used;

    void configure(Configuration configuration) {
        used = 0;
        for (Route route : configuration.routes()) {
            use(route.priority());
        }
        for (WorkspaceSpec workspace : configuration.workspaces()) {
            workspace.priority().ifPresent(this::use);
        }
    }

    private void use(int priority) {
        used |= 1 << limited(priority);
    }

    /**
     * Returns the priority of a request at an engine: that of its route or workspace. Long prompts get the next value
     * if no other request has it, so that the engine admits short ones first without changing the order of priorities.
     */
    int of(RequestTerms terms, int uncachedTokens, long nowMs) {
        int priority = limited(terms.priority());
        boolean isLong = uncachedTokens > PrefillBudget.CHUNK_TOKENS;
        boolean hasWaited = nowMs - terms.arrivedMs() > terms.objectiveMs() * WAITED_FRACTION;
        boolean nextIsFree = priority < LOWEST && (used & (1 << (priority + 1))) == 0;
        return isLong && !hasWaited && nextIsFree ? priority + 1 : priority;
    }

    private static int limited(int priority) {
        return Math.min(LOWEST, Math.max(0, priority));
    }
}
