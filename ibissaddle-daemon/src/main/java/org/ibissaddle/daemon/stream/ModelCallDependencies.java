package org.ibissaddle.daemon.stream;

import com.codahale.metrics.Timer;
import org.ibissaddle.daemon.backend.StreamClient;
import org.ibissaddle.daemon.log.EventLog;
import org.ibissaddle.daemon.path.RetryBudgets;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.dispatch.Dispatch;
import org.ibissaddle.dispatch.RetryBudget;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.PlacementRequest;
import org.ibissaddle.port.Clock;
import org.ibissaddle.stream.StreamTokenCodec;

/**
 * Dependencies that all model calls of an instance share.
 *
 * @param settings settings of the instance
 * @param state release note in force and view of the fleet
 * @param policy placement policy for requests
 * @param engines client for engines and other instances
 * @param budgets retry budgets
 * @param crashTracker marks requests that were in flight when an engine crashed
 * @param claims streams that callers have resumed through another instance
 * @param tokens encodes and decodes stream tokens
 * @param clock source of time
 * @param log log of the instance
 * @param firstToken timer of the time to first token
 */
public record ModelCallDependencies(
        Settings settings,
        SharedState state,
        PlacementPolicy policy,
        StreamClient engines,
        RetryBudgets budgets,
        CrashTracker crashTracker,
        StreamClaims claims,
        StreamTokenCodec tokens,
        Clock clock,
        EventLog log,
        Timer firstToken) {
    /** Starts a call, which adds to the retry budget of its pool unless another instance has forwarded it. */
    Dispatch startDispatch(PlacementRequest request) {
        RetryBudget budget = budgets.of(request.pool());
        return request.forwarded()
                ? Dispatch.forwarded(request.deadlineMs(), budget)
                : Dispatch.repeatable(request.deadlineMs(), budget);
    }
}
