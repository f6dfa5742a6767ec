package org.ibissaddle.daemon.stream;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.placement.Placement;
import org.ibissaddle.placement.Work;
import org.ibissaddle.quarantine.Standing;

/** Finds a place for each attempt of one request; a marked request waits for an engine without another marked one. */
final class EnginePlaces implements AutoCloseable {
    private static final long RETRY_MS = 20;

    private final ModelContext context;
    private final ApartGate gate;
    private final Work work;
    private final byte[] body;
    private Target target;
    private CrashWatch.InFlight inFlight;

    EnginePlaces(ModelContext context, ApartGate gate, Work work, byte[] body) {
        this.context = context;
        this.gate = gate;
        this.work = work;
        this.body = body;
    }

    /** Chooses where the next attempt is sent; the place of the last one is given back. */
    Target next(Set<ServerId> tried) throws RefusedException {
        close();
        while (true) {
            Standing standing = context.crashes().standing(body);
            if (standing instanceof Standing.Refused refused) {
                throw new RefusedException(Refusal.of(
                                RefusalType.QUARANTINED,
                                "the request was in flight when backend servers crashed",
                                Fate.NOT_RUN)
                        .retryAt(refused.untilMs()));
            }
            boolean apart = standing instanceof Standing.Apart;
            Target found = place(tried, apart);
            if (found != null && (!apart || gate.enter(found.id(), this))) {
                take(found);
                return found;
            }
            pause();
        }
    }

    private Target place(Set<ServerId> tried, boolean apart) throws RefusedException {
        Set<ServerId> busy = apart ? gate.busy() : new HashSet<>();
        if (apart) {
            busy.addAll(context.crashes().down());
        }
        Set<ServerId> excluded = new HashSet<>(tried);
        excluded.addAll(busy);
        Work asked = work.withTried(excluded);
        Placement placement = context.policy()
                .place(
                        asked,
                        context.state().note().orElseThrow(),
                        context.state().fleet(),
                        context.clock().nowMs(),
                        ThreadLocalRandom.current());
        return switch (placement) {
            case Placement.Serve serve -> Target.of(serve.server(), placement);
            case Placement.Forward forward -> Target.of(forward.peer(), placement);
            case Placement.Refuse refuse -> {
                if (busy.isEmpty() || context.clock().nowMs() >= work.deadlineMs()) {
                    throw new RefusedException(refuse.refusal());
                }
                yield null;
            }
        };
    }

    private void take(Target found) {
        target = found;
        if (!found.peer()) {
            inFlight =
                    context.crashes().enter(found.id(), body, work.workspace().home());
        }
    }

    private static void pause() throws RefusedException {
        try {
            Thread.sleep(RETRY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new RefusedException(Refusal.of(RefusalType.DRAINING, "the instance is stopping", Fate.NOT_RUN));
        }
    }

    /** Gives the place back. */
    @Override
    public void close() {
        if (target != null) {
            gate.leave(target.id(), this);
        }
        if (inFlight != null) {
            inFlight.close();
        }
        target = null;
        inFlight = null;
    }
}
