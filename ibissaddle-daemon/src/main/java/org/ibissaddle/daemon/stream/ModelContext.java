package org.ibissaddle.daemon.stream;

import com.codahale.metrics.Timer;
import org.ibissaddle.daemon.backend.StreamClient;
import org.ibissaddle.daemon.log.EventLog;
import org.ibissaddle.daemon.path.RetryBudgets;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.port.Clock;
import org.ibissaddle.stream.StreamTokens;

/**
 * What all model calls of an instance share.
 *
 * @param settings settings of the instance
 * @param state note and beliefs
 * @param policy decides where requests are served
 * @param engines calls engines and other instances
 * @param budgets retry budgets
 * @param crashes marks requests that were in flight at a crash
 * @param claims streams whose callers went on through another instance
 * @param tokens writes stream tokens
 * @param clock source of time
 * @param log log of the instance
 * @param firstToken time to the first token
 */
public record ModelContext(
        Settings settings,
        SharedState state,
        PlacementPolicy policy,
        StreamClient engines,
        RetryBudgets budgets,
        CrashWatch crashes,
        StreamClaims claims,
        StreamTokens tokens,
        Clock clock,
        EventLog log,
        Timer firstToken) {}
