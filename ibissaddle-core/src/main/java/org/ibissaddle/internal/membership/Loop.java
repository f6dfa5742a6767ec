package org.ibissaddle.internal.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.Address;
import org.ibissaddle.membership.Action;
import org.ibissaddle.membership.ControlLoop;
import org.ibissaddle.membership.Event;
import org.ibissaddle.membership.FleetList;
import org.ibissaddle.membership.Gossip;
import org.ibissaddle.membership.Gossip.Mark;
import org.ibissaddle.membership.ListAnswer;
import org.ibissaddle.membership.ListEntry;
import org.ibissaddle.membership.ListRequest;
import org.ibissaddle.membership.Membership;
import org.ibissaddle.membership.NoteAnswer;
import org.ibissaddle.membership.NoteRequest;
import org.ibissaddle.membership.Peer;
import org.ibissaddle.membership.Self;
import org.ibissaddle.membership.ServerPoll;
import org.ibissaddle.membership.Snapshot;
import org.ibissaddle.note.NoteLedger;
import org.ibissaddle.note.NoteRejectedException;
import org.ibissaddle.note.NoteSource;
import org.ibissaddle.note.Offered;
import org.ibissaddle.note.Pool;
import org.ibissaddle.note.ReleaseNote;

/** The control loop of one instance. */
public final class Loop implements ControlLoop {
    private static final long EXCHANGE_MS = 1_000;
    private static final long URGENT_EXCHANGE_MS = 200;
    private static final int SMALL_FLEET = 16;
    private static final long NEWS_MS = 3_000;
    private static final int MAX_OPEN_EXCHANGES = 4;
    private static final long PAUSE_MS = 1_500;
    private static final long WAKE_CHECK_MS = 1_500;
    private static final long CATCH_UP_MS = 60_000;
    private static final int DIGEST_DIGITS = 12;

    private final Self self;
    private final List<Address> seeds;
    private final RandomGenerator random;
    private final Membership membership;
    private final NoteLedger ledger = new NoteLedger();
    private final ListJournal journal = new ListJournal();
    private final PlatformReads reads;
    private final NoteAssembly assembly = new NoteAssembly(ledger);
    private final NotePull pull = new NotePull(ledger);
    private final StartGate gate = new StartGate();
    private int openExchanges;
    private long nextExchangeMs;
    private long noteNewsUntilMs;
    private long lastTickMs;
    private long refreshedAtMs;
    private long wakeUntilMs;
    private long catchUpAtMs;
    private boolean askingList;
    private int seed;

    /**
     * Creates the loop of a starting instance.
     *
     * @param self the instance
     * @param seeds control addresses of other instances from the settings
     * @param random source of random numbers
     * @param nowMs current time, epoch milliseconds
     */
    public Loop(Self self, List<Address> seeds, RandomGenerator random, long nowMs) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.random = random;
        this.membership = Membership.create(self, random, nowMs);
        this.reads = new PlatformReads(random, nowMs);
        this.lastTickMs = nowMs;
        this.refreshedAtMs = nowMs;
        this.catchUpAtMs = nowMs;
        this.nextExchangeMs = nowMs + random.nextLong(EXCHANGE_MS);
    }

    @Override
    public List<Action> handle(Event event, long nowMs) {
        List<Action> actions = new ArrayList<>();
        switch (event) {
            case Event.Tick tick -> tick(actions, nowMs);
            case Event.Answered answered -> answered(answered, actions, nowMs);
            case Event.Unanswered unanswered -> unanswered(unanswered, nowMs);
            case Event.Reported reported -> membership.reported(reported.report(), nowMs);
            case Event.Unreachable unreachable -> membership.unreachable(unreachable.server(), nowMs);
            case Event.ServerLeaving leaving -> membership.leaving(leaving.server(), nowMs);
            case Event.ValueRead read -> valueRead(read, actions, nowMs);
            case Event.Unchanged unchanged -> unchanged(unchanged.name(), nowMs);
            case Event.ReadFailed failed -> reads.failed(failed.name(), nowMs);
            case Event.ListRead read -> {
                reads.read(PlatformReads.LIST, read.list().revision(), nowMs);
                list(read.list(), nowMs);
                refreshed(nowMs);
            }
            case Event.NoteAnswered answered -> noteAnswered(answered, actions, nowMs);
            case Event.ListAnswered answered -> listAnswered(answered, nowMs);
            case Event.Leave leave -> {
                membership.leave();
                nextExchangeMs = nowMs;
            }
            case Event.Estimated estimated -> membership.estimate(estimated.load(), estimated.spare());
        }
        return actions;
    }

    private void tick(List<Action> actions, long nowMs) {
        if (nowMs - lastTickMs > PAUSE_MS) {
            woke(nowMs);
        }
        lastTickMs = nowMs;
        if (nowMs >= wakeUntilMs) {
            refreshed(nowMs);
        }
        membership.tick(nowMs);
        actions.addAll(reads.due(membership.rank("platform"), nowMs));
        startUp(actions, nowMs);
        exchange(actions, nowMs);
        catchUp(actions, nowMs);
        for (ServerPoll poll : membership.duePolls(nowMs)) {
            actions.add(new Action.PollServer(poll));
        }
    }

    private void woke(long nowMs) {
        wakeUntilMs = nowMs + WAKE_CHECK_MS;
        openExchanges = 0;
        askingList = false;
        catchUpAtMs = nowMs;
        nextExchangeMs = nowMs;
        reads.hurry(nowMs);
    }

    private void refreshed(long nowMs) {
        wakeUntilMs = 0;
        refreshedAtMs = nowMs;
    }

    private void startUp(List<Action> actions, long nowMs) {
        if (gate.passed()) {
            return;
        }
        for (Peer peer : gate.ask(known(), self.control())) {
            actions.add(new Action.Exchange(peer, tell(peer, nowMs)));
            openExchanges++;
        }
        boolean peersLeft = !gate.full()
                && known().stream().anyMatch(peer -> !peer.control().equals(self.control()) && !gate.wasAsked(peer));
        boolean holdsNewest = ledger.inForce().isPresent() && !ledger.behind();
        gate.passes(reads.asked(), peersLeft, holdsNewest);
    }

    /** Lists the peers to ask at the start: seeds first, then the own zone, then the rest of the list. */
    private List<Peer> known() {
        List<Peer> near = new ArrayList<>();
        List<Peer> far = new ArrayList<>();
        seeds.forEach(address -> near.add(new Peer(Optional.empty(), address)));
        for (ListEntry entry : membership.newestList().entries()) {
            boolean other = !entry.name().equals(self.id().name());
            if (other
                    && entry.kind() == ListEntry.Kind.INSTANCE
                    && entry.control().isPresent()) {
                Peer peer = new Peer(
                        Optional.of(new org.ibissaddle.id.InstanceId(entry.name())),
                        entry.control().get());
                (entry.zone().equals(self.zone()) ? near : far).add(peer);
            }
        }
        near.addAll(far);
        return near;
    }

    private void exchange(List<Action> actions, long nowMs) {
        if (nowMs < nextExchangeMs || openExchanges >= MAX_OPEN_EXCHANGES) {
            return;
        }
        boolean urgent = membership.urgent(nowMs) || nowMs < noteNewsUntilMs;
        long everyMs = urgent ? URGENT_EXCHANGE_MS : ordinaryMs();
        nextExchangeMs = nowMs + everyMs * 4 / 5 + random.nextLong(everyMs * 2 / 5);
        Optional<Peer> peer = membership.nextPeer(nowMs).or(this::nextSeed);
        if (peer.isPresent()) {
            openExchanges++;
            actions.add(new Action.Exchange(peer.get(), tell(peer.get(), nowMs)));
        }
    }

    private long ordinaryMs() {
        return membership.newestList().entries().size() <= SMALL_FLEET ? EXCHANGE_MS / 2 : EXCHANGE_MS;
    }

    private Optional<Peer> nextSeed() {
        if (seeds.isEmpty()) {
            return Optional.empty();
        }
        seed = (seed + 1) % seeds.size();
        return Optional.of(new Peer(Optional.empty(), seeds.get(seed)));
    }

    private void catchUp(List<Action> actions, long nowMs) {
        if (askingList || nowMs < catchUpAtMs) {
            return;
        }
        Optional<Peer> peer = membership.nextPeer(nowMs).or(this::nextSeed);
        if (peer.isPresent()) {
            catchUpAtMs = nowMs + CATCH_UP_MS * 4 / 5 + random.nextLong(CATCH_UP_MS * 2 / 5);
            askList(peer.get(), true, actions);
        }
    }

    private void askList(Peer peer, boolean beliefs, List<Action> actions) {
        askingList = true;
        long revision = membership.newestList().revision();
        actions.add(new Action.AskList(peer, new ListRequest(revision, self.region(), beliefs)));
    }

    private Gossip tell(Peer peer, long nowMs) {
        return membership.tell(peer.id(), noteMark(nowMs), listMark(), reads.zoneReadAgeMs(nowMs), nowMs);
    }

    private Mark noteMark(long nowMs) {
        String digest = ledger.digest();
        String leading = digest.substring(0, Math.min(DIGEST_DIGITS, digest.length()));
        return new Mark(
                ledger.number(),
                leading,
                ledger.freshAtMs().map(at -> nowMs - at).orElse(-1L));
    }

    private Mark listMark() {
        return new Mark(membership.newestList().revision(), "", -1);
    }

    @Override
    public Gossip answer(Gossip gossip, long nowMs) {
        hear(gossip, nowMs);
        return tell(new Peer(Optional.of(gossip.from().id()), self.control()), nowMs);
    }

    private void hear(Gossip gossip, long nowMs) {
        membership.hear(gossip, nowMs);
        Mark note = gossip.note();
        if (note.number() > 0) {
            long atMs = note.ageMs() < 0 ? Long.MIN_VALUE : nowMs - note.ageMs();
            ledger.confirm(note.number(), note.digest(), atMs);
        }
        boolean sameZone = gossip.from().zone() == null
                ? membership.inOwnZone(gossip.from().id())
                : gossip.from().zone().equals(self.zone());
        if (sameZone && gossip.readAgeMs() >= 0) {
            reads.zoneRead(nowMs - gossip.readAgeMs());
        }
    }

    private void answered(Event.Answered event, List<Action> actions, long nowMs) {
        openExchanges = Math.max(0, openExchanges - 1);
        Gossip answer = event.answer();
        Peer peer = new Peer(Optional.of(answer.from().id()), event.peer().control());
        membership.contacted(peer.id(), true, nowMs);
        hear(answer, nowMs);
        gate.resolved(event.peer());
        pull.heard(peer, answer.note().number());
        pull.start().ifPresent(actions::add);
        if (answer.list().number() > membership.newestList().revision() && !askingList) {
            askList(peer, membership.newestList().revision() == 0, actions);
        }
    }

    private void unanswered(Event.Unanswered event, long nowMs) {
        switch (event.kind()) {
            case EXCHANGE -> {
                openExchanges = Math.max(0, openExchanges - 1);
                gate.resolved(event.peer());
                membership.contacted(event.peer().id(), false, nowMs);
            }
            case NOTE -> pull.failed();
            case LIST -> askingList = false;
            default -> throw new IllegalStateException("kind " + event.kind() + " is not known; add it to the switch");
        }
    }

    private void valueRead(Event.ValueRead read, List<Action> actions, long nowMs) {
        if (assembly.awaits(read.name())) {
            assembly.add(read.name(), read.text());
        } else {
            reads.read(read.name(), read.revision(), nowMs);
            assembly.start(read.text());
        }
        assemble(actions, nowMs);
    }

    private void assemble(List<Action> actions, long nowMs) {
        try {
            switch (assembly.next()) {
                case NoteAssembly.Step.Need need -> actions.add(new Action.ReadValue(need.name(), 0, nowMs));
                case NoteAssembly.Step.NotNewer same -> ledger.confirm(same.number(), "", nowMs);
                case NoteAssembly.Step.Whole whole -> {
                    offered(ledger.offer(whole.note(), NoteSource.PLATFORM, nowMs), actions, nowMs);
                    ledger.confirm(whole.note().number(), whole.note().digest(), nowMs);
                }
            }
        } catch (NoteRejectedException e) {
            offered(ledger.refused(e.faults(), NoteSource.PLATFORM), actions, nowMs);
            if (e.faults().stream().anyMatch(org.ibissaddle.note.NoteFault.PartMismatch.class::isInstance)) {
                reads.forgetNote(nowMs);
            }
        }
    }

    private void unchanged(String name, long nowMs) {
        reads.unchanged(name, nowMs);
        if (name.equals(PlatformReads.LIST)) {
            refreshed(nowMs);
        } else {
            ledger.confirm(ledger.number(), ledger.digest(), nowMs);
        }
    }

    private void offered(Offered outcome, List<Action> actions, long nowMs) {
        if (outcome instanceof Offered.AlreadyInForce || outcome instanceof Offered.Older) {
            return;
        }
        if (outcome instanceof Offered.Accepted) {
            noteNewsUntilMs = nowMs + NEWS_MS;
            nextExchangeMs = Math.min(nextExchangeMs, nowMs);
        }
        actions.add(new Action.Announce(outcome));
    }

    private void noteAnswered(Event.NoteAnswered event, List<Action> actions, long nowMs) {
        for (Offered outcome : pull.answered(event.peer(), event.answer(), nowMs)) {
            offered(outcome, actions, nowMs);
        }
        pull.start().ifPresent(actions::add);
    }

    private void listAnswered(Event.ListAnswered event, long nowMs) {
        askingList = false;
        ListAnswer answer = event.answer();
        FleetList held = membership.newestList();
        if (answer.revision() > held.revision()
                && (answer.whole() || event.request().revision() == held.revision())) {
            list(ListJournal.join(held, answer), nowMs);
        }
        answer.beliefs().ifPresent(beliefs -> membership.catchUp(beliefs, nowMs));
        refreshed(nowMs);
    }

    private void list(FleetList list, long nowMs) {
        membership.list(list, nowMs);
        if (membership.newestList().equals(list)) {
            journal.add(list);
        }
    }

    @Override
    public NoteAnswer answer(NoteRequest request) {
        return pull.answer(request);
    }

    @Override
    public ListAnswer answer(ListRequest request, long nowMs) {
        Optional<Snapshot> beliefs =
                request.beliefs() ? Optional.of(membership.snapshot(request.region(), nowMs)) : Optional.empty();
        return journal.since(request.revision(), beliefs);
    }

    @Override
    public boolean ready() {
        return gate.passed();
    }

    @Override
    public NoteLedger notes() {
        return ledger;
    }

    @Override
    public Optional<FleetList> list() {
        return Optional.of(membership.newestList()).filter(list -> list.revision() > 0);
    }

    @Override
    public FleetView view(long nowMs) {
        FleetView view = membership.view(refreshedAtMs, nowMs);
        if (ledger.inForce().isEmpty()) {
            return view;
        }
        ReleaseNote note = ledger.inForce().get();
        List<ServerView> servers =
                view.servers().stream().map(server -> assumed(server, note)).toList();
        return new FleetView(view.self(), view.peers(), servers, view.refreshedAtMs());
    }

    /** Believes of a server that was never heard that it holds what the note declares. */
    private static ServerView assumed(ServerView server, ReleaseNote note) {
        Pool pool = note.pools().get(server.pool());
        if (pool == null || server.load().reportedAtMs() > 0 || !server.models().isEmpty()) {
            return server;
        }
        return new ServerView(
                server.id(),
                server.incarnation(),
                server.pool(),
                server.region(),
                server.zone(),
                server.address(),
                server.health(),
                pool.models(),
                server.load());
    }
}
