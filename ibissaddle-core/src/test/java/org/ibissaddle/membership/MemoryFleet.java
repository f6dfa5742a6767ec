package org.ibissaddle.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.ServerLoad;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;

/** Runs many control loops in one thread, with simulated time and an in-memory transport that uses the real codec. */
final class MemoryFleet {
    static final long START_MS = 1_700_000_000_000L;
    static final int REQUEST_HEADER_BYTES = 230;
    static final int RESPONSE_HEADER_BYTES = 130;
    private static final int POLL_BYTES = 650;
    private static final long TIMEOUT_MS = 1_000;

    final PlatformModel platform = new PlatformModel();
    final Map<String, Node> nodes = new TreeMap<>();
    final Map<String, Backend> servers = new TreeMap<>();
    private final Map<Address, Node> byControl = new java.util.HashMap<>();
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMs).thenComparingLong(Task::order));
    private final Random random;
    private long order;
    long nowMs = START_MS;
    BiPredicate<String, String> isBlocked = (from, to) -> false;

    MemoryFleet(long seed) {
        this.random = new Random(seed);
    }

    private record Task(long atMs, long order, Runnable action) {}

    /** Creates a fleet of 3 regions and up to 7 availability zones; the platform lists all instances and servers. */
    static MemoryFleet of(long seed, int instances, int serverCount) {
        MemoryFleet fleet = new MemoryFleet(seed);
        int zones = Math.min(7, Math.max(3, instances));
        for (int i = 0; i < instances; i++) {
            fleet.addNode("i" + i, i % zones);
        }
        for (int i = 0; i < serverCount; i++) {
            fleet.servers.put("server-" + i, new Backend("server-" + i, zone(i % zones), 20_000 + i));
        }
        fleet.publishList();
        fleet.nodes.values().forEach(Node::start);
        return fleet;
    }

    private static Location zone(int number) {
        return new Location(new Region("r" + number % 3), new Zone("r" + number % 3 + "-z" + number / 3));
    }

    record Location(Region region, Zone zone) {}

    private void addNode(String name, int zone) {
        int port = 30_000 + nodes.size();
        Node node = new Node(name, zone(zone), new Address("10.0.0.1", port), new Address("10.0.0.2", port));
        nodes.put(name, node);
        byControl.put(node.control, node);
    }

    List<ListEntry> entries() {
        List<ListEntry> entries = new ArrayList<>();
        nodes.values().forEach(node -> entries.add(node.entry()));
        servers.values().forEach(server -> entries.add(server.entry(false)));
        return entries;
    }

    void publishList() {
        platform.publish(entries(), nowMs);
    }

    void at(long delayMs, Runnable action) {
        tasks.add(new Task(nowMs + delayMs, order++, action));
    }

    void run(long forMs) {
        long untilMs = nowMs + forMs;
        while (!tasks.isEmpty() && tasks.peek().atMs() <= untilMs) {
            Task task = tasks.poll();
            nowMs = task.atMs();
            task.action().run();
        }
        nowMs = untilMs;
    }

    /** Runs until a condition holds and returns the elapsed simulated time; fails when the limit is reached. */
    long runUntil(java.util.function.BooleanSupplier condition, long limitMs) {
        long fromMs = nowMs;
        while (!condition.getAsBoolean()) {
            if (nowMs - fromMs >= limitMs) {
                throw new AssertionError("condition not met within " + limitMs + " ms of simulated time");
            }
            run(50);
        }
        return nowMs - fromMs;
    }

    boolean allHaveNote(long number) {
        return nodes.values().stream()
                .filter(node -> node.up)
                .allMatch(node -> node.loop.notes().number() == number);
    }

    private long delay(Location from, Location to) {
        long base = from.zone().equals(to.zone()) ? 1 : from.region().equals(to.region()) ? 2 : 28;
        return base + random.nextInt(3);
    }

    /** A backend server. */
    static final class Backend {
        final String name;
        final Location location;
        final Address address;
        Incarnation incarnation = new Incarnation(START_MS - 1_000, 7);
        boolean up = true;
        boolean draining;

        Backend(String name, Location location, int port) {
            this.name = name;
            this.location = location;
            this.address = new Address("10.0.0.3", port);
        }

        ListEntry entry(boolean leaving) {
            return new ListEntry(
                    name,
                    ListEntry.Kind.SERVER,
                    Optional.of(new PoolId("inspection")),
                    location.region(),
                    location.zone(),
                    address,
                    Optional.empty(),
                    leaving);
        }

        ServerReport report(long nowMs, Random random) {
            ServerLoad load = new ServerLoad(
                    nowMs,
                    random.nextInt(60),
                    random.nextInt(10),
                    random.nextInt(9_000),
                    random.nextInt(9_000),
                    2_000,
                    0.6);
            Set<ModelId> models = Set.of(new ModelId("dossier", "3"), new ModelId("quick", "1"));
            return new ServerReport(new ServerId(name), Optional.of(incarnation), load, models, Set.of(), draining);
        }
    }

    /**
     * Instance with its control loop and an adapter that performs the actions of the loop on the in-memory transport.
     */
    final class Node {
        final String name;
        final Location location;
        final Address caller;
        final Address control;
        ControlLoop loop;
        boolean up;
        boolean platformReachable = true;
        long staleByMs;
        long pausedUntilMs;
        long bytes;
        long cpuNanos;
        int generation;
        long announcedNumber;
        boolean ready;
        List<org.ibissaddle.note.NoteOfferResult> offeredNotes = new ArrayList<>();

        Node(String name, Location location, Address caller, Address control) {
            this.name = name;
            this.location = location;
            this.caller = caller;
            this.control = control;
        }

        ListEntry entry() {
            return new ListEntry(
                    name,
                    ListEntry.Kind.INSTANCE,
                    Optional.empty(),
                    location.region(),
                    location.zone(),
                    caller,
                    Optional.of(control),
                    false);
        }

        void start() {
            generation++;
            up = true;
            announcedNumber = 0;
            ready = false;
            Incarnation incarnation = new Incarnation(nowMs, generation);
            LocalInstance self = new LocalInstance(
                    new InstanceId(name), incarnation, location.region(), location.zone(), caller, control);
            List<Address> seeds = nodes.values().stream()
                    .filter(node -> node != this)
                    .limit(3)
                    .map(node -> node.control)
                    .toList();
            loop = ControlLoop.create(self, seeds, new Random(random.nextLong()), nowMs);
            int expectedGeneration = generation;
            at(random.nextInt((int) ControlLoop.TICK_MS), () -> tick(expectedGeneration));
        }

        void stop() {
            up = false;
            generation++;
        }

        private void tick(int expectedGeneration) {
            if (expectedGeneration != generation) {
                return;
            }
            if (nowMs < pausedUntilMs) {
                at(pausedUntilMs - nowMs, () -> tick(expectedGeneration));
                return;
            }
            handle(new ControlLoopEvent.Tick(), expectedGeneration);
            at(ControlLoop.TICK_MS, () -> tick(expectedGeneration));
        }

        void handle(ControlLoopEvent event, int expectedGeneration) {
            if (expectedGeneration != generation) {
                return;
            }
            if (nowMs < pausedUntilMs) {
                at(pausedUntilMs - nowMs, () -> handle(event, expectedGeneration));
                return;
            }
            long fromNanos = System.nanoTime();
            List<ControlLoopAction> actions = loop.handle(event, nowMs);
            cpuNanos += System.nanoTime() - fromNanos;
            if (event instanceof ControlLoopEvent.Answered answered) {
                announcedNumber =
                        Math.max(announcedNumber, answered.answer().note().number());
            }
            if (loop.isReady() && !ready && loop.notes().number() < announcedNumber) {
                throw new AssertionError(name + " became ready with note "
                        + loop.notes().number() + " although a peer had announced note " + announcedNumber);
            }
            ready = loop.isReady();
            actions.forEach(this::perform);
        }

        private void perform(ControlLoopAction action) {
            switch (action) {
                case ControlLoopAction.Exchange exchange ->
                    call(
                            exchange.peer(),
                            exchange.message(),
                            Gossip.class,
                            ControlLoopEvent.PeerRequestType.EXCHANGE,
                            (to, message) -> to.loop.answer(message, nowMs),
                            (peer, answer) -> new ControlLoopEvent.Answered(peer, answer));
                case ControlLoopAction.RequestNote note ->
                    call(
                            note.peer(),
                            note.request(),
                            NoteRequest.class,
                            NoteAnswer.class,
                            ControlLoopEvent.PeerRequestType.NOTE,
                            (to, request) -> to.loop.answer(request),
                            (peer, answer) -> new ControlLoopEvent.NoteAnswered(peer, note.request(), answer));
                case ControlLoopAction.RequestList list ->
                    call(
                            list.peer(),
                            list.request(),
                            ListRequest.class,
                            ListAnswer.class,
                            ControlLoopEvent.PeerRequestType.LIST,
                            (to, request) -> to.loop.answer(request, nowMs),
                            (peer, answer) -> new ControlLoopEvent.ListAnswered(peer, list.request(), answer));
                case ControlLoopAction.PollServer poll -> poll(poll.poll());
                case ControlLoopAction.ReadValue read -> readValue(read);
                case ControlLoopAction.ReadList read -> readList(read);
                case ControlLoopAction.ReportNoteOutcome report -> offeredNotes.add(report.outcome());
            }
        }

        private void call(
                Peer peer,
                Gossip message,
                Class<Gossip> type,
                ControlLoopEvent.PeerRequestType kind,
                java.util.function.BiFunction<Node, Gossip, Gossip> serve,
                java.util.function.BiFunction<Peer, Gossip, ControlLoopEvent> outcome) {
            call(peer, message, type, type, kind, serve, outcome);
        }

        private <Q, A> void call(
                Peer peer,
                Q query,
                Class<Q> requestType,
                Class<A> answered,
                ControlLoopEvent.PeerRequestType kind,
                java.util.function.BiFunction<Node, Q, A> serve,
                java.util.function.BiFunction<Peer, A, ControlLoopEvent> outcome) {
            int expectedGeneration = generation;
            byte[] body = encode(query);
            bytes += body.length + REQUEST_HEADER_BYTES;
            Node to = byControl.get(peer.control());
            boolean reaches = to != null && !isBlocked.test(name, to.name);
            boolean[] done = {false};
            at(TIMEOUT_MS, () -> {
                if (!done[0]) {
                    done[0] = true;
                    handle(new ControlLoopEvent.Unanswered(peer, kind), expectedGeneration);
                }
            });
            if (!reaches) {
                return;
            }
            at(
                    delay(location, to.location),
                    () -> to.serve(body, requestType, serve, reply -> {
                        if (isBlocked.test(to.name, name)) {
                            return;
                        }
                        at(delay(to.location, location), () -> {
                            if (!done[0] && expectedGeneration == generation) {
                                done[0] = true;
                                bytes += reply.length + RESPONSE_HEADER_BYTES;
                                handle(outcome.apply(peer, decode(reply, answered)), expectedGeneration);
                            }
                        });
                    }));
        }

        private <Q, A> void serve(
                byte[] body,
                Class<Q> type,
                java.util.function.BiFunction<Node, Q, A> serve,
                java.util.function.Consumer<byte[]> back) {
            if (!up) {
                return;
            }
            if (nowMs < pausedUntilMs) {
                at(pausedUntilMs - nowMs, () -> serve(body, type, serve, back));
                return;
            }
            long fromNanos = System.nanoTime();
            Q query = decode(body, type);
            if (query instanceof Gossip gossip) {
                announcedNumber = Math.max(announcedNumber, gossip.note().number());
            }
            byte[] reply = GossipCodec.encode(serve.apply(this, query));
            cpuNanos += System.nanoTime() - fromNanos;
            bytes += body.length + REQUEST_HEADER_BYTES + reply.length + RESPONSE_HEADER_BYTES;
            back.accept(reply);
        }

        private byte[] encode(Object message) {
            long fromNanos = System.nanoTime();
            byte[] body = GossipCodec.encode(message);
            cpuNanos += System.nanoTime() - fromNanos;
            return body;
        }

        private <T> T decode(byte[] body, Class<T> type) {
            long fromNanos = System.nanoTime();
            try {
                return GossipCodec.decode(body, type);
            } catch (MessageRejectedException e) {
                throw new AssertionError(e);
            } finally {
                cpuNanos += System.nanoTime() - fromNanos;
            }
        }

        private void poll(ServerPoll poll) {
            int expectedGeneration = generation;
            bytes += POLL_BYTES;
            Backend server = servers.get(poll.server().name());
            boolean reaches = server.up && !isBlocked.test(name, server.name);
            at(reaches ? 2 : TIMEOUT_MS, () -> {
                boolean answers = reaches && server.up;
                handle(
                        answers
                                ? new ControlLoopEvent.Reported(server.report(nowMs, random))
                                : new ControlLoopEvent.Unreachable(poll.server()),
                        expectedGeneration);
            });
        }

        private void readValue(ControlLoopAction.ReadValue read) {
            platform.countRead(nowMs);
            watch(read.name(), read.untilMs(), generation, () -> {
                Optional<PlatformModel.Version> version = platform.value(read.name(), nowMs - staleByMs);
                if (version.isEmpty()) {
                    return Optional.of(new ControlLoopEvent.ReadFailed(read.name()));
                }
                if (version.get().revision() <= read.afterRevision() && staleByMs == 0) {
                    return Optional.empty();
                }
                bytes += version.get().text().length() + RESPONSE_HEADER_BYTES;
                return Optional.of(new ControlLoopEvent.ValueRead(
                        read.name(), version.get().revision(), version.get().text()));
            });
        }

        private void readList(ControlLoopAction.ReadList read) {
            platform.countRead(nowMs);
            watch("instances", read.untilMs(), generation, () -> {
                FleetList list = platform.list(nowMs - staleByMs);
                return list.revision() <= read.afterRevision() && staleByMs == 0
                        ? Optional.empty()
                        : Optional.of(new ControlLoopEvent.ListRead(list));
            });
        }

        private void watch(
                String what,
                long untilMs,
                int expectedGeneration,
                java.util.function.Supplier<Optional<ControlLoopEvent>> read) {
            at(platform.delayMs, () -> {
                if (platform.down || !platformReachable) {
                    handle(new ControlLoopEvent.ReadFailed(what), expectedGeneration);
                    return;
                }
                Optional<ControlLoopEvent> event = read.get();
                if (event.isPresent()) {
                    handle(event.get(), expectedGeneration);
                } else if (nowMs >= untilMs) {
                    bytes += REQUEST_HEADER_BYTES + RESPONSE_HEADER_BYTES;
                    handle(new ControlLoopEvent.Unchanged(what), expectedGeneration);
                } else {
                    at(50, () -> watch(what, untilMs, expectedGeneration, read));
                }
            });
        }

        Health healthOf(String server) {
            return loop.view(nowMs).servers().stream()
                    .filter(view -> view.id().name().equals(server))
                    .map(ServerView::health)
                    .findFirst()
                    .orElse(Health.DOWN);
        }

        Health healthOfPeer(String peer) {
            return loop.view(nowMs)
                    .peer(new InstanceId(peer))
                    .map(view -> view.health())
                    .orElse(Health.DOWN);
        }
    }
}
