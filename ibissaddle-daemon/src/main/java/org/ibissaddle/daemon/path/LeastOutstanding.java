package org.ibissaddle.daemon.path;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.placement.Placement;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.Work;

/** Gives each request to the server of its pool with the fewest requests of this instance. */
public final class LeastOutstanding implements PlacementPolicy {
    private final Map<ServerId, AtomicLong> outstanding = new ConcurrentHashMap<>();

    @Override
    public Placement place(Work work, ReleaseNote note, FleetView fleet, long nowMs, RandomGenerator random) {
        List<ServerView> servers = fleet.serversOf(work.pool());
        long least = Long.MAX_VALUE;
        ServerView chosen = null;
        int start = servers.isEmpty() ? 0 : random.nextInt(servers.size());
        for (int i = 0; i < servers.size(); i++) {
            ServerView server = servers.get((start + i) % servers.size());
            if (!server.health().takesNewWork() || work.tried().contains(server.id())) {
                continue;
            }
            long count = count(server.id()).get();
            if (count < least) {
                least = count;
                chosen = server;
            }
        }
        if (chosen == null) {
            String message = "no backend server of pool \"" + work.pool() + "\" can take the request";
            return new Placement.Refuse(Refusal.of(RefusalType.NO_SERVER, message, Fate.NOT_RUN));
        }
        return new Placement.Serve(chosen);
    }

    private AtomicLong count(ServerId server) {
        return outstanding.computeIfAbsent(server, id -> new AtomicLong());
    }

    @Override
    public Running started(Work work, Placement placement, long nowMs) {
        if (!(placement instanceof Placement.Serve serve)) {
            return new Counted(new AtomicLong());
        }
        AtomicLong count = count(serve.server().id());
        count.incrementAndGet();
        return new Counted(count);
    }

    private record Counted(AtomicLong count) implements Running {
        @Override
        public void firstToken(long nowMs) {}

        @Override
        public void generated(int tokens) {}

        @Override
        public void ended(boolean succeeded, long nowMs) {
            count.decrementAndGet();
        }
    }
}
