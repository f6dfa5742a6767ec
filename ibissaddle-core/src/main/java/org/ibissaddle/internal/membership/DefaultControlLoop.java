package org.ibissaddle.internal.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.membership.ControlLoop;
import org.ibissaddle.membership.ControlLoopAction;
import org.ibissaddle.membership.ControlLoopEvent;
import org.ibissaddle.membership.FleetList;
import org.ibissaddle.membership.Gossip;
import org.ibissaddle.membership.Gossip.DocumentVersion;
import org.ibissaddle.membership.ListAnswer;
import org.ibissaddle.membership.ListEntry;
import org.ibissaddle.membership.ListRequest;
import org.ibissaddle.membership.LocalInstance;
import org.ibissaddle.membership.Membership;
import org.ibissaddle.membership.MembershipSnapshot;
import org.ibissaddle.membership.NoteAnswer;
import org.ibissaddle.membership.NoteRequest;
import org.ibissaddle.membership.Peer;
import org.ibissaddle.membership.ServerPoll;
import org.ibissaddle.note.NoteLedger;
import org.ibissaddle.note.NoteOfferResult;
import org.ibissaddle.note.NoteRejectedException;
import org.ibissaddle.note.NoteSource;
import org.ibissaddle.note.Pool;

/** Default implementation of {@link ControlLoop}. */
public final class DefaultControlLoop implements ControlLoop {
    private static final long EXCHANGE_INTERVAL_MS = 1_000;
    private static final long URGENT_EXCHANGE_INTERVAL_MS = 200;
    private static final int SMALL_FLEET_ENTRIES = 16;
    private static final long NEW_NOTE_URGENT_MS = 3_000;
    private static final int MAX_OPEN_EXCHANGES = 4;
    private static final long MIN_PAUSE_MS = 1_500;
    private static final long RESUME_REFRESH_TIMEOUT_MS = 1_500;
    private static final long CATCH_UP_INTERVAL_MS = 60_000;
    private static final int DIGEST_PREFIX_LENGTH = 12;

    private final LocalInstance self;
    private final List<Address> seeds;
    private final RandomGenerator random;
    private final Membership membership;
    private final NoteLedger ledger = new NoteLedger();
    private final FleetListHistory listHistory = new FleetListHistory();
    private final PlatformReadScheduler readScheduler;
    private final NoteAssembler noteAssembler = new NoteAssembler(ledger);
    private final NoteFetcher noteFetcher = new NoteFetcher(ledger);
    private final StartupGate startupGate = new StartupGate();
    private int openExchanges;
    private long nextExchangeMs;
    private long newNoteUrgentUntilMs;
    private long lastTickMs;
    private long refreshedAtMs;
    private long resumeRefreshUntilMs;
    private long nextCatchUpMs;
    private boolean listRequestInFlight;
    private int seedIndex;

    /**
     * Creates the control loop of an instance that is starting.
     *
     * @param self the local instance
     * @param seeds control addresses of other instances from the settings
     * @param random source of random numbers
     * @param nowMs current time, epoch milliseconds
     */
    public DefaultControlLoop(LocalInstance self, List<Address> seeds, RandomGenerator random, long nowMs) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.random = random;
        this.membership = Membership.create(self, random, nowMs);
        this.readScheduler = new PlatformReadScheduler(random, nowMs);
        this.lastTickMs = nowMs;
        this.refreshedAtMs = nowMs;
        this.nextCatchUpMs = nowMs;
        this.nextExchangeMs = nowMs + random.nextLong(EXCHANGE_INTERVAL_MS);
    }

    @Override
    public List<ControlLoopAction> handle(ControlLoopEvent event, long nowMs) {
        List<ControlLoopAction> actions = new ArrayList<>();
        switch (event) {
            case ControlLoopEvent.Tick tick -> tick(actions, nowMs);
            case ControlLoopEvent.Answered answered -> handleAnswer(answered, actions, nowMs);
            case ControlLoopEvent.Unanswered unanswered -> handleNoAnswer(unanswered, nowMs);
            case ControlLoopEvent.Reported reported -> membership.applyReport(reported.report(), nowMs);
            case ControlLoopEvent.Unreachable unreachable -> membership.recordUnreachable(unreachable.server(), nowMs);
            case ControlLoopEvent.ServerLeaving leaving -> membership.recordServerDraining(leaving.server(), nowMs);
            case ControlLoopEvent.ValueRead read -> handleValue(read, actions, nowMs);
            case ControlLoopEvent.Unchanged unchanged -> handleUnchanged(unchanged.name(), nowMs);
            case ControlLoopEvent.ReadFailed failed -> readScheduler.recordFailure(failed.name(), nowMs);
            case ControlLoopEvent.ListRead read -> {
                readScheduler.recordRead(PlatformReadScheduler.LIST, read.list().revision(), nowMs);
                applyList(read.list(), nowMs);
                markRefreshed(nowMs);
            }
            case ControlLoopEvent.NoteAnswered answered -> handleNoteAnswer(answered, actions, nowMs);
            case ControlLoopEvent.ListAnswered answered -> handleListAnswer(answered, nowMs);
            case ControlLoopEvent.Leave leave -> {
                membership.startDraining();
                nextExchangeMs = nowMs;
            }
            case ControlLoopEvent.Demanded demanded -> membership.updateDemand(demanded.demands());
            case ControlLoopEvent.Estimated estimated ->
                membership.updateRegionLoad(estimated.load(), estimated.spare());
        }
        return actions;
    }

    private void tick(List<ControlLoopAction> actions, long nowMs) {
        if (nowMs - lastTickMs > MIN_PAUSE_MS) {
            handleResume(nowMs);
        }
        lastTickMs = nowMs;
        if (nowMs >= resumeRefreshUntilMs) {
            markRefreshed(nowMs);
        }
        membership.tick(nowMs);
        actions.addAll(readScheduler.dueReads(membership.rank("platform"), nowMs));
        continueStartup(actions, nowMs);
        startExchange(actions, nowMs);
        requestCatchUp(actions, nowMs);
        for (ServerPoll poll : membership.duePolls(nowMs)) {
            actions.add(new ControlLoopAction.PollServer(poll));
        }
    }

    private void handleResume(long nowMs) {
        resumeRefreshUntilMs = nowMs + RESUME_REFRESH_TIMEOUT_MS;
        openExchanges = 0;
        listRequestInFlight = false;
        nextCatchUpMs = nowMs;
        nextExchangeMs = nowMs;
        readScheduler.readListNow(nowMs);
    }

    private void markRefreshed(long nowMs) {
        resumeRefreshUntilMs = 0;
        refreshedAtMs = nowMs;
    }

    private void continueStartup(List<ControlLoopAction> actions, long nowMs) {
        if (startupGate.passed()) {
            return;
        }
        for (Peer peer : startupGate.nextPeers(startupPeers(), self.control())) {
            actions.add(new ControlLoopAction.Exchange(peer, createGossip(peer, nowMs)));
            openExchanges++;
        }
        boolean peersLeft = !startupGate.peerLimitReached()
                && startupPeers().stream()
                        .anyMatch(peer -> !peer.control().equals(self.control()) && !startupGate.wasQueried(peer));
        boolean holdsNewest = ledger.inForce().isPresent() && !ledger.isOutdated();
        startupGate.update(readScheduler.allAttempted(), peersLeft, holdsNewest);
    }

    /** Returns the peers to query during startup: seeds first, then the local zone, then the rest of the list. */
    private List<Peer> startupPeers() {
        List<Peer> preferred = new ArrayList<>();
        List<Peer> others = new ArrayList<>();
        seeds.forEach(address -> preferred.add(new Peer(Optional.empty(), address)));
        for (ListEntry entry : membership.newestList().entries()) {
            boolean other = !entry.name().equals(self.id().name());
            if (other
                    && entry.kind() == ListEntry.Kind.INSTANCE
                    && entry.control().isPresent()) {
                Peer peer = new Peer(
                        Optional.of(new org.ibissaddle.id.InstanceId(entry.name())),
                        entry.control().get());
                (entry.zone().equals(self.zone()) ? preferred : others).add(peer);
            }
        }
        preferred.addAll(others);
        return preferred;
    }

    private void startExchange(List<ControlLoopAction> actions, long nowMs) {
        if (nowMs < nextExchangeMs || openExchanges >= MAX_OPEN_EXCHANGES) {
            return;
        }
        boolean urgent = membership.hasUrgentUpdates(nowMs) || nowMs < newNoteUrgentUntilMs;
        long intervalMs = urgent ? URGENT_EXCHANGE_INTERVAL_MS : regularExchangeIntervalMs();
        nextExchangeMs = nowMs + intervalMs * 4 / 5 + random.nextLong(intervalMs * 2 / 5);
        Optional<Peer> peer = membership.nextPeer(nowMs).or(this::nextSeed);
        if (peer.isPresent()) {
            openExchanges++;
            actions.add(new ControlLoopAction.Exchange(peer.get(), createGossip(peer.get(), nowMs)));
        }
    }

    private long regularExchangeIntervalMs() {
        return membership.newestList().entries().size() <= SMALL_FLEET_ENTRIES
                ? EXCHANGE_INTERVAL_MS / 2
                : EXCHANGE_INTERVAL_MS;
    }

    private Optional<Peer> nextSeed() {
        if (seeds.isEmpty()) {
            return Optional.empty();
        }
        seedIndex = (seedIndex + 1) % seeds.size();
        return Optional.of(new Peer(Optional.empty(), seeds.get(seedIndex)));
    }

    private void requestCatchUp(List<ControlLoopAction> actions, long nowMs) {
        if (listRequestInFlight || nowMs < nextCatchUpMs) {
            return;
        }
        Optional<Peer> peer = membership.nextPeer(nowMs).or(this::nextSeed);
        if (peer.isPresent()) {
            nextCatchUpMs = nowMs + CATCH_UP_INTERVAL_MS * 4 / 5 + random.nextLong(CATCH_UP_INTERVAL_MS * 2 / 5);
            requestList(peer.get(), true, actions);
        }
    }

    private void requestList(Peer peer, boolean includeSnapshot, List<ControlLoopAction> actions) {
        listRequestInFlight = true;
        long revision = membership.newestList().revision();
        actions.add(new ControlLoopAction.RequestList(peer, new ListRequest(revision, self.region(), includeSnapshot)));
    }

    private Gossip createGossip(Peer peer, long nowMs) {
        return membership.createGossip(
                peer.id(), noteVersion(nowMs), listVersion(), readScheduler.zoneReadAgeMs(nowMs), nowMs);
    }

    private DocumentVersion noteVersion(long nowMs) {
        String digest = ledger.digest();
        String prefix = digest.substring(0, Math.min(DIGEST_PREFIX_LENGTH, digest.length()));
        return new DocumentVersion(
                ledger.number(),
                prefix,
                ledger.lastConfirmedAtMs().map(at -> nowMs - at).orElse(-1L));
    }

    private DocumentVersion listVersion() {
        return new DocumentVersion(membership.newestList().revision(), "", -1);
    }

    @Override
    public Gossip answer(Gossip gossip, long nowMs) {
        receive(gossip, nowMs);
        return createGossip(new Peer(Optional.of(gossip.from().id()), self.control()), nowMs);
    }

    private void receive(Gossip gossip, long nowMs) {
        membership.applyGossip(gossip, nowMs);
        DocumentVersion note = gossip.note();
        if (note.number() > 0) {
            long atMs = note.ageMs() < 0 ? Long.MIN_VALUE : nowMs - note.ageMs();
            ledger.recordConfirmation(note.number(), note.digest(), atMs);
        }
        boolean sameZone = gossip.from().zone() == null
                ? membership.isInLocalZone(gossip.from().id())
                : gossip.from().zone().equals(self.zone());
        if (sameZone && gossip.readAgeMs() >= 0) {
            readScheduler.recordZoneRead(nowMs - gossip.readAgeMs());
        }
    }

    private void handleAnswer(ControlLoopEvent.Answered event, List<ControlLoopAction> actions, long nowMs) {
        openExchanges = Math.max(0, openExchanges - 1);
        Gossip answer = event.answer();
        Peer peer = new Peer(Optional.of(answer.from().id()), event.peer().control());
        membership.recordContact(peer.id(), true, nowMs);
        receive(answer, nowMs);
        startupGate.completed(event.peer());
        noteFetcher.recordPeerNumber(peer, answer.note().number());
        noteFetcher.nextRequest().ifPresent(actions::add);
        if (answer.list().number() > membership.newestList().revision() && !listRequestInFlight) {
            requestList(peer, membership.newestList().revision() == 0, actions);
        }
    }

    private void handleNoAnswer(ControlLoopEvent.Unanswered event, long nowMs) {
        switch (event.kind()) {
            case EXCHANGE -> {
                openExchanges = Math.max(0, openExchanges - 1);
                startupGate.completed(event.peer());
                membership.recordContact(event.peer().id(), false, nowMs);
            }
            case NOTE -> noteFetcher.requestFailed();
            case LIST -> listRequestInFlight = false;
            default ->
                throw new IllegalStateException(
                        "unanswered request of kind " + event.kind() + " is not handled; add a case for it");
        }
    }

    private void handleValue(ControlLoopEvent.ValueRead read, List<ControlLoopAction> actions, long nowMs) {
        if (noteAssembler.expects(read.name())) {
            noteAssembler.add(read.name(), read.text());
        } else {
            readScheduler.recordRead(read.name(), read.revision(), nowMs);
            noteAssembler.start(read.text());
        }
        continueAssembly(actions, nowMs);
    }

    private void continueAssembly(List<ControlLoopAction> actions, long nowMs) {
        try {
            switch (noteAssembler.nextStep()) {
                case NoteAssembler.Step.MissingValue missing ->
                    actions.add(new ControlLoopAction.ReadValue(missing.name(), 0, nowMs));
                case NoteAssembler.Step.NotNewer notNewer -> ledger.recordConfirmation(notNewer.number(), "", nowMs);
                case NoteAssembler.Step.Complete complete -> {
                    reportOffer(ledger.offer(complete.note(), NoteSource.PLATFORM, nowMs), actions, nowMs);
                    ledger.recordConfirmation(
                            complete.note().number(), complete.note().digest(), nowMs);
                }
            }
        } catch (NoteRejectedException e) {
            reportOffer(ledger.recordRefusal(e.faults(), NoteSource.PLATFORM), actions, nowMs);
            if (e.faults().stream().anyMatch(org.ibissaddle.note.NoteFault.PartMismatch.class::isInstance)) {
                readScheduler.rereadNote(nowMs);
            }
        }
    }

    private void handleUnchanged(String name, long nowMs) {
        readScheduler.recordUnchanged(name, nowMs);
        if (name.equals(PlatformReadScheduler.LIST)) {
            markRefreshed(nowMs);
        } else {
            ledger.recordConfirmation(ledger.number(), ledger.digest(), nowMs);
        }
    }

    private void reportOffer(NoteOfferResult outcome, List<ControlLoopAction> actions, long nowMs) {
        if (outcome instanceof NoteOfferResult.AlreadyInForce || outcome instanceof NoteOfferResult.Older) {
            return;
        }
        if (outcome instanceof NoteOfferResult.Accepted) {
            newNoteUrgentUntilMs = nowMs + NEW_NOTE_URGENT_MS;
            nextExchangeMs = Math.min(nextExchangeMs, nowMs);
        }
        actions.add(new ControlLoopAction.ReportNoteOutcome(outcome));
    }

    private void handleNoteAnswer(ControlLoopEvent.NoteAnswered event, List<ControlLoopAction> actions, long nowMs) {
        for (NoteOfferResult outcome : noteFetcher.handleAnswer(event.peer(), event.answer(), nowMs)) {
            reportOffer(outcome, actions, nowMs);
        }
        noteFetcher.nextRequest().ifPresent(actions::add);
    }

    private void handleListAnswer(ControlLoopEvent.ListAnswered event, long nowMs) {
        listRequestInFlight = false;
        ListAnswer answer = event.answer();
        FleetList held = membership.newestList();
        if (answer.revision() > held.revision()
                && (answer.whole() || event.request().revision() == held.revision())) {
            applyList(FleetListHistory.join(held, answer), nowMs);
        }
        answer.beliefs().ifPresent(snapshot -> membership.applySnapshot(snapshot, nowMs));
        markRefreshed(nowMs);
    }

    private void applyList(FleetList list, long nowMs) {
        membership.applyList(list, nowMs);
        if (membership.newestList().equals(list)) {
            listHistory.add(list);
        }
    }

    @Override
    public NoteAnswer answer(NoteRequest request) {
        return noteFetcher.answer(request);
    }

    @Override
    public ListAnswer answer(ListRequest request, long nowMs) {
        Optional<MembershipSnapshot> snapshot =
                request.beliefs() ? Optional.of(membership.snapshot(request.region(), nowMs)) : Optional.empty();
        return listHistory.since(request.revision(), snapshot);
    }

    @Override
    public boolean isReady() {
        return startupGate.passed();
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
        return membership.view(this::declaredModels, refreshedAtMs, nowMs);
    }

    private Set<ModelId> declaredModels(PoolId pool) {
        return ledger.inForce()
                .map(note -> note.pools().get(pool))
                .map(Pool::models)
                .orElse(Set.of());
    }
}
