package anisebend;

import anisebend.Stats.Estimate;
import anisebend.Stats.Rate;
import anisebend.Stats.Window;
import gorsemast.admission.RetryDelay;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The load balancing policy. Events, actions and records: {@link Balancer}; design: docs/design/module.md.
 * The key table (or, after a cache miss, the origin) gives a request its server. It waits in that server's
 * queue for the earliest free lane; lanes slow down on failure and speed up after counted successes. All
 * times are the caller's, in microseconds.
 */
public final class BalancingPolicy implements Balancer {
    private static final int LANES = 2;
    /** A key leaves a server with this many times the mean load for one below it; floors in requests. */
    private static final double HIGH_LOAD_FACTOR = 3;

    private static final double HIGH_LOAD = 8;
    private static final double LOW_LOAD = 2;
    private static final int KEY_TABLE_SIZE = 1 << 13;
    /** Cold times after which an unused key is removed; each new key removes at most one. */
    private static final long KEY_TTL = 4;
    /** Deviations above the mean latency after which an unanswered request makes its server suspect. */
    private static final double SUSPECT_DEVIATIONS = 4;
    /** Weights of failures of a server that has not answered since, and the sum that makes it suspect. */
    private static final int CONNECT_WEIGHT = 4;

    private static final int SILENCE_WEIGHT = 2;
    private static final int RESET_WEIGHT = 1;
    private static final int FAULT_LIMIT = 4;
    /** The same for a zone while others answer: three timeouts in a row; a refused connect counts as one. */
    private static final int ZONE_FAULT_LIMIT = 6;
    /** A class at the limit avoids the server, unless more than one server in this many fails the class. */
    private static final int COMMON_FAULT_DIVISOR = 2;
    /** Fraction of the usual fetch rate that the pacer's lanes still carry at their longest interval. */
    private static final double MIN_FETCH_RATE = 0.4;

    private static final double RETENTION_DECREASE = 0.95;
    private static final double RETENTION_INCREASE = 1.02;
    /** A fetch that takes more than this many target latencies shows that the origin is overloaded. */
    private static final double LATE_FETCH = 1.5;
    /** Responses after which the latency estimate of a class is trusted. */
    private static final int MIN_SAMPLES = 64;
    /** One server in this many may be suspect at a time; operators have seen a sixth of them fail at once. */
    private static final int SUSPECT_DIVISOR = 3;
    /** Latency, as a fraction of the target, from which a server takes no work beyond a tenant's share. */
    private static final double BUSY_RATIO = 0.5;
    /** Retries earned by each served request and their maximum balance: retries must not amplify overload. */
    private static final double RETRY_RATIO = 0.2;

    private static final double MAX_RETRY_BUDGET = 10;
    /** Fraction of requests that may be sent to suspect servers as trials, however many are suspect. */
    private static final double TRIAL_RATIO = 0.1;
    /** A key gets more homes when its rate exceeds this many times its homes' share of all requests. */
    private static final double HOT_KEY_FACTOR = 2;
    /** Rendezvous weight factor of servers in the local zone, for a key with several homes. */
    private static final double LOCAL_FACTOR = 8;

    /** Rate of a cold server relative to its warmth's share of a warm server's usual rate. */
    private static final double COLD_RATE_FACTOR = 1.5;
    /** Target latencies after its arrival when a request that has never been sent is refused. */
    private static final double MAX_WAIT = 1.7;
    /** Cap on the expected latency as a fraction of MAX_WAIT, so that a stale estimate still gets tried. */
    private static final double EXPECTED = 0.9;

    private final Actions actions;
    private SplittableRandom random;
    private Settings settings;
    private long now;
    private long shortestDeadline;
    private long shortestTarget;
    private int salt;
    private long sequence;
    private final Map<String, Target> targets = new LinkedHashMap<>();
    private Target origin;
    /** Each zone as one target: at low traffic a failed zone shows long before each of its servers does. */
    private final Map<Integer, Target> zones = new HashMap<>();
    /** Paces requests that probably cause a fetch, at any server, if servers fetch from the origin. */
    private Target pacer;

    private final FetchLimit fetchLimit = new FetchLimit();
    private final Map<String, Call> calls = new HashMap<>();
    private final LinkedHashSet<Call> unassigned = new LinkedHashSet<>();
    private final Map<String, Call> fetches = new HashMap<>();
    private final Map<String, Home> homes = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Home> eldest) {
            return size() > KEY_TABLE_SIZE || now - eldest.getValue().usedAt > KEY_TTL * settings.coldTime();
        }
    };
    private final TimerQueue timers = new TimerQueue();
    private AdaptiveInterval listBackoff;
    private Rate arrivals;
    /** Responses of warm servers; weights of the warm and of all servers when the fleet was last scanned. */
    private Rate warmRate;

    private double warmWeights;
    private double allWeights;
    private double meanWeight;
    private boolean anySuspect;
    private boolean reportsCacheStatus; // whether responses carry a cache status
    /** How long a fetched response is assumed to stay cached; learned from wrong predictions. */
    private double ttl;

    private TenantShares shares;
    private final List<Estimate> latencies = new ArrayList<>();
    private Estimate originLatency;
    private double retryBudget = MAX_RETRY_BUDGET;
    private double trials;
    private final RetryDelay delays = new RetryDelay();
    private final Window requests = new Window();
    private final Window resends = new Window();
    private final long[] unserved = new long[UnservedReason.values().length];

    /** Creates a balancer that issues its actions to {@code actions}. */
    public BalancingPolicy(Actions actions) {
        this.actions = actions;
    }

    /** A cache server, the origin, a zone or the pacer: its queue, lanes and health. */
    private final class Target {
        final String id;
        final long hash;
        final List<Lane> lanes = new ArrayList<>();
        final Rate rate = new Rate(Math.max(settings.coldTime() / 4.0, shortestDeadline));
        final AdaptiveInterval backoff =
                new AdaptiveInterval(random, shortestDeadline / Lane.MAX_DIVISOR, shortestDeadline);
        final TreeSet<Call> queue = new TreeSet<>(Call.DISPATCH_ORDER);
        final LinkedHashSet<Call> inFlight = new LinkedHashSet<>();
        final List<ClassFaults> faults = new ArrayList<>();
        Server entry;
        Target zone; // null for a zone, the origin and the pacer
        long lastAnswerAt;
        long coldSince = Long.MIN_VALUE;
        /** Token bucket of a cold server; a send takes 1. */
        double coldCredit;

        long coldCreditAt;
        long dispatchAt = Long.MAX_VALUE;
        long nextTrialAt;
        boolean suspect;
        int suspicion;
        double slowness;
        double meanLatency; // smoothed
        /** Lowest latency so far: the network round trip, which sending less does not shorten. */
        long minLatency = Long.MAX_VALUE;

        Target(Server entry) {
            this.id = entry.id();
            this.hash = Stats.hash(entry.id());
            this.entry = entry;
            this.lastAnswerAt = now;
            for (int i = 0; i < LANES; i++) {
                lanes.add(new Lane(random, shortestDeadline));
            }
        }

        ClassFaults faults(int requestClass) {
            while (faults.size() <= requestClass) {
                faults.add(new ClassFaults(settings.classes().get(faults.size()).effect()));
            }
            return faults.get(requestClass);
        }

        boolean ready() {
            return entry.state() == State.READY;
        }

        ServerView view() {
            long mean = lanes.stream().mapToLong(lane -> lane.currentInterval).sum() / lanes.size();
            int out = (int) faults.stream().filter(fault -> fault.excluded).count();
            int queued = queue.size();
            int sent = inFlight.size();
            return new ServerView(
                    id, entry.state(), isSilent(), warmth(), lanes.size(), mean, queued, sent, out, slowness);
        }

        boolean isSilent() {
            return suspect || zone != null && zone.suspect;
        }

        /** Whether {@code other} is this server or belongs to this zone. */
        boolean covers(Target other) {
            return other == this || other.zone == this;
        }

        double load() {
            return (queue.size() + inFlight.size()) / entry.weight();
        }

        Lane nextLane() {
            Lane best = lanes.get(0);
            for (Lane lane : lanes) {
                lane.decayWhileIdle(now);
                if (lane.readyAt() < best.readyAt()
                        || lane.readyAt() == best.readyAt() && lane.idleSince < best.idleSince) {
                    best = lane;
                }
            }
            return best;
        }

        boolean hasSlot() {
            boolean bounded = this == pacer && originLatency.samples >= MIN_SAMPLES;
            return !bounded || fetchLimit.hasCapacity(now, rate.peak, shortestTarget, shortestDeadline);
        }

        /** When a request with {@code ahead} others before it may be sent. */
        long departureTime(int ahead) {
            long sum = 0;
            long first = Long.MAX_VALUE;
            for (Lane lane : lanes) {
                sum += lane.currentInterval + (lane.currentInterval > 0 ? (long) meanLatency : 0);
                first = Math.min(first, lane.idleSince + lane.currentInterval);
            }
            double full = hasSlot() ? 0 : ahead * Stats.SECOND / Math.max(1, rate.at(now));
            long queued = Math.max((long) full, ahead * sum / lanes.size() / lanes.size());
            return Math.max(Math.max(now, first), coldReadyAt()) + queued;
        }

        /** Adds a lane if the present ones could not carry the usual rate at the longest interval. */
        void recordServed(long elapsed) {
            rate.add(now);
            meanLatency = meanLatency == 0 ? elapsed : Stats.smooth(meanLatency, elapsed);
            double usual = Math.min(meanLatency, BUSY_RATIO * shortestTarget);
            double least = this == pacer ? MIN_FETCH_RATE : 1;
            if (least * rate.peak * (lanes.get(0).maxInterval + usual) > lanes.size() * Stats.SECOND) {
                lanes.add(new Lane(random, shortestDeadline));
            }
        }

        /** Whether the latency without the round trip is so near the target that the server is overloaded. */
        boolean isLate(long elapsed, long target) {
            minLatency = Math.min(minLatency, elapsed);
            double roundTrip = Math.min(minLatency, target * BUSY_RATIO);
            return elapsed - roundTrip > BUSY_RATIO * (target - roundTrip);
        }

        boolean isBusy() {
            return slowness > BUSY_RATIO || nextLane().readyAt() > now || !queue.isEmpty();
        }

        void markCold(long since) {
            coldSince = since;
            coldCredit = random.nextDouble();
            coldCreditAt = now;
        }

        /**
         * When a cold server may get its next request. It earns its share, by weight, of what warm servers
         * carry from here (of all requests if none is warm). The random start bounds sums over balancers too.
         */
        long coldReadyAt() {
            if (warmth() == 1) {
                return 0;
            }
            double usual = warmWeights > 0 ? warmRate.at(now) / warmWeights : arrivals.at(now) / allWeights;
            double perMicro = COLD_RATE_FACTOR * warmth() * usual * entry.weight() / Stats.SECOND;
            coldCredit = Math.min(1, coldCredit + (now - coldCreditAt) * perMicro);
            coldCreditAt = now;
            double earned = now + 1 + (1 - coldCredit) / perMicro;
            return coldCredit >= 1 ? 0 : (long) Math.min(coldSince + settings.coldTime(), earned);
        }

        /** Fraction of its full capacity that the server is given, 1 when warm. */
        double warmth() {
            long age = now - coldSince;
            if (coldSince == Long.MIN_VALUE || age >= settings.coldTime()) {
                return 1;
            }
            return settings.coldShare() + (1 - settings.coldShare()) * age / settings.coldTime();
        }
    }

    /** Failures of one request class at a server that answers other classes. */
    private final class ClassFaults {
        final AdaptiveInterval backoff;
        double score;
        boolean excluded;
        long trialAt;

        /** A failed trial of a request that must not be repeated is lost, so such trials are rare. */
        ClassFaults(Effect effect) {
            long first = Math.max(shortestDeadline, effect == Effect.SAFE ? 0 : settings.coldTime() / 2);
            backoff = new AdaptiveInterval(random, first, 4 * first);
        }

        boolean isFailing() {
            return score >= FAULT_LIMIT;
        }

        void updateExclusion(boolean allowed) {
            if (excluded != (allowed && isFailing())) {
                excluded = !excluded;
                backoff.currentInterval = 0;
                trialAt = 0;
                scheduleTrial();
            }
        }

        /** While the class is excluded, each trial postpones the next one. */
        void scheduleTrial() {
            if (excluded && now >= trialAt) {
                backoff.increase();
                trialAt = now + backoff.currentInterval;
            }
        }

        boolean isBlocked() {
            return excluded && now < trialAt;
        }
    }

    /** The home server of a key, and when it was last requested. */
    private static final class Home {
        Target target;
        long usedAt;
        long servedAt;
        double interval;
        int homeCount = 1;
        /** The server that last answered a read of the key and so has it cached, and since when. */
        Target holder;

        long heldAt;

        Home(long now) {
            usedAt = now;
        }

        /** Doubles the homes of a key whose rate is far above a server's share, {@code ratePerServer}. */
        void recordServed(long now, double ratePerServer) {
            interval = servedAt == 0 ? 0 : interval == 0 ? now - servedAt : (interval + now - servedAt) / 2;
            servedAt = now;
            if (interval > 0 && ratePerServer * Stats.SECOND > HOT_KEY_FACTOR * homeCount * interval) {
                homeCount *= 2;
                target = null;
            }
        }
    }

    /** A request that is owed an answer or has an attempt in flight. */
    private static final class Call {
        static final Comparator<Call> DISPATCH_ORDER =
                (a, b) -> a.rank == b.rank ? Long.compare(b.order, a.order) : a.rank > b.rank ? -1 : 1;
        final Request request;
        final RequestClass type;
        final long order;
        final double rank;
        final boolean overShare;
        final long lateAt;
        final List<Call> followers = new ArrayList<>(0);
        /** Servers that refused it or did not answer it. */
        final List<Target> failedAt = new ArrayList<>(0);

        int attempts;
        int maxAttempts;
        boolean answered;
        boolean missed;
        /** Its last attempt was a cache miss, so the next one is exempt from the resend limit. */
        boolean resendExempt;

        Target queuedAt;
        Target sentTo;
        Lane lane;
        /** The pacer's lane that it occupies, if it will probably cause a fetch. */
        Lane fetchLane;

        FetchLimit.Fetch fetch;
        long sentAt;
        /** Server and time of the first attempt that may have been executed, if any. */
        Server ranOn;

        long ranSince;

        Call(Request request, RequestClass type, long order, double rank, boolean overShare, long lateAt) {
            this.request = request;
            this.type = type;
            this.order = order;
            this.rank = rank;
            this.overShare = overShare;
            this.lateAt = lateAt;
        }

        long dueAt() {
            return attempts == 0 ? lateAt : request.expiresAt();
        }
    }

    private void apply(Settings next) {
        next.check(Lane.INITIAL_DIVISOR);
        settings = next;
        List<RequestClass> classes = next.classes();
        shortestDeadline =
                classes.stream().mapToLong(RequestClass::deadline).min().getAsLong();
        shortestTarget =
                classes.stream().mapToLong(RequestClass::targetLatency).min().getAsLong();
        while (latencies.size() < classes.size()) {
            latencies.add(new Estimate(classes.get(latencies.size()).targetLatency() / 4.0));
        }
    }

    @Override
    public void reconfigure(long time, Settings next) {
        now = time;
        boolean changed = !next.tenants().equals(settings.tenants());
        apply(next);
        shares = changed ? new TenantShares(next.tenants(), next.balancers(), shares.span, arrivals) : shares;
        shares.balancers = next.balancers();
    }

    @Override
    public void start(long time, long seed, Settings initial) {
        now = time;
        apply(initial);
        random = new SplittableRandom(seed);
        salt = random.nextInt();
        originLatency = new Estimate(shortestTarget / 4.0);
        double span = Math.max(initial.coldTime() / 4.0, shortestDeadline);
        arrivals = new Rate(span);
        warmRate = new Rate(span);
        shares = new TenantShares(initial.tenants(), initial.balancers(), span, arrivals);
        if (initial.originKind() < 0) {
            pacer = new Target(new Server("ledger", 0, 0, 0, State.READY, 1, 0));
            ttl = KEY_TTL * initial.coldTime();
        }
        if (initial.listMustBeAsked()) {
            long wait = initial.listAskWithin();
            listBackoff = new AdaptiveInterval(random, wait / Lane.INITIAL_DIVISOR, wait / Lane.MAX_DIVISOR);
            actions.subscribe();
        }
        timers.arm(actions);
    }

    @Override
    public void servers(long time, ListKind kind, List<Server> entries) {
        now = time;
        if (kind == ListKind.FAILED) {
            if (listBackoff != null) {
                listBackoff.increase();
                timers.schedule(now + listBackoff.currentInterval, actions::subscribe);
            }
            timers.arm(actions);
            return;
        }
        if (listBackoff != null && kind != ListKind.CACHED) {
            listBackoff.currentInterval = 0;
        }
        LinkedHashSet<String> listed = new LinkedHashSet<>();
        for (Server entry : entries) {
            listed.add(entry.id());
            updateServer(entry);
        }
        List<Target> known = new ArrayList<>(targets.values());
        known.addAll(origin == null ? List.of() : List.of(origin));
        for (Target target : known) {
            if (kind != ListKind.CHANGES && !listed.contains(target.id)) {
                Server e = target.entry;
                target.entry = new Server(e.id(), e.zone(), e.kind(), e.cell(), State.GONE, e.weight(), 0);
            }
            if (!target.ready()) {
                reroute(target.queue);
                if (target.entry.state() == State.GONE && target.inFlight.isEmpty()) {
                    targets.remove(target.id);
                }
            }
        }
        reroute(unassigned);
        timers.arm(actions);
    }

    private void updateServer(Server entry) {
        boolean isOrigin = entry.kind() == settings.originKind();
        boolean known = isOrigin && origin != null && origin.id.equals(entry.id());
        Target target = known ? origin : targets.get(entry.id());
        if (target == null) {
            target = new Target(entry);
            if (isOrigin) {
                origin = target;
            } else {
                targets.put(entry.id(), target);
                target.zone = zones.computeIfAbsent(
                        entry.zone(), z -> new Target(new Server("zone " + z, z, 0, 0, State.READY, 1, 0)));
                if (entry.startedAt() > 0) {
                    target.markCold(entry.startedAt());
                }
            }
            return;
        }
        boolean restarted = entry.startedAt() > target.entry.startedAt();
        target.entry = entry;
        if (restarted && !isOrigin) {
            target.faults.clear();
            clearSuspicion(target);
            target.markCold(Math.max(entry.startedAt(), target.coldSince));
        }
    }

    @Override
    public void request(long time, Request request) {
        now = time;
        if (calls.containsKey(request.id())) {
            return;
        }
        RequestClass type = settings.classes().get(request.requestClass());
        boolean overShare = shares.recordRequest(now, request.tenant());
        double rank = type.importance() * (overShare ? settings.overShareFactor() : 1);
        long lateAt = Math.min(request.expiresAt(), (long) (now + MAX_WAIT * type.targetLatency()));
        Call call = new Call(request, type, sequence++, rank, overShare, lateAt);
        call.maxAttempts = settings.maxAttempts();
        calls.put(request.id(), call);
        arrivals.add(now);
        if (settings.resendSpan() > 0) {
            requests.add(now);
        }
        timers.schedule(request.expiresAt(), () -> endUnserved(call, UnservedReason.TIME_UP));
        timers.schedule(call.lateAt - expectedLatency(call, null), () -> recheckWaiting(call));
        timers.schedule(request.expiresAt() - expectedLatency(call, null), () -> recheckWaiting(call));
        route(call);
        timers.arm(actions);
    }

    @Override
    public void outcome(long time, Outcome o) {
        now = time;
        Call call = calls.get(o.request());
        if (call == null || call.sentTo == null || o.attempt() != call.attempts - 1) {
            return;
        }
        Target target = call.sentTo;
        call.sentTo = null;
        target.inFlight.remove(call);
        call.lane.inFlight--;
        call.lane.idleSince = now;
        recordOutcome(call, target, o);
        end(call, o.cacheStatus() == CacheStatus.HIT, o.code() != Code.CANCELLED && o.code() != Code.TIMEOUT);
        if (o.code().mayHaveRun && call.ranOn == null) {
            call.ranOn = target.entry;
            call.ranSince = call.sentAt;
        }
        call.answered |= o.requestFinished();
        if (call.answered) {
            finish(call);
        } else {
            retryOrFinish(call, target, o);
        }
        dispatch(target);
        timers.arm(actions);
    }

    @Override
    public void abandoned(long time, String request) {
        now = time;
        Call call = calls.get(request);
        if (call != null) {
            call.answered = true;
            finish(call);
        }
        timers.arm(actions);
    }

    @Override
    public void timer(long time, long token) {
        now = time;
        timers.runDue(now, token);
        timers.arm(actions);
    }

    @Override
    public View view(long time) {
        now = time;
        List<ServerView> views =
                new ArrayList<>(targets.values().stream().map(Target::view).toList());
        views.addAll(pacer == null ? List.of() : List.of(pacer.view()));
        return new View(views, unassigned.size(), calls.size(), retryBudget, unserved.clone());
    }

    private void route(Call call) {
        if (call.answered) {
            return;
        }
        String key = call.request.key();
        if (call.attempts >= call.maxAttempts || now >= call.request.expiresAt() || !mayRepeat(call)) {
            endUnserved(call, UnservedReason.SPENT);
            return;
        }
        boolean cacheAside = settings.originKind() >= 0;
        Target target = cacheAside && (call.request.write() || call.missed) ? origin : chooseServer(call);
        boolean cacheable = cacheAside && !call.request.write() && key != null;
        if (cacheable && joinFetch(call)) {
            return;
        }
        if (cacheable && call.missed) {
            fetches.put(key, call);
        }
        if (target == null || !target.ready()) {
            unassigned.add(call);
            return;
        }
        if (call.overShare && target.isBusy()) {
            endUnserved(call, UnservedReason.OVER_SHARE);
            return;
        }
        if (pacer != null && call.fetchLane == null && needsFetch(call, target)) {
            if (joinFetch(call)) {
                return;
            }
            if (pacer.queue.isEmpty() && pacer.hasSlot() && pacer.nextLane().readyAt() <= now) {
                startFetch(call, pacer.nextLane());
            } else if (call.overShare) {
                endUnserved(call, UnservedReason.OVER_SHARE);
                return;
            } else {
                target = pacer;
            }
        }
        target.queue.add(call);
        call.queuedAt = target;
        boolean free = target.hasSlot() && target.nextLane().readyAt() <= now;
        int ahead = free ? 0 : target.queue.headSet(call).size();
        if (tooLate(call, target, ahead)) {
            endUnserved(call, UnservedReason.NO_ROOM);
            return;
        }
        dispatch(target);
        // Newest first: one more may make those behind it too late, so they are refused at once.
        while (!target.queue.isEmpty() && tooLate(target.queue.last(), target, target.queue.size() - 1)) {
            endUnserved(target.queue.last(), UnservedReason.NO_ROOM);
        }
    }

    /** Whether a request with {@code ahead} others before it is sent too late to be answered in time. */
    private boolean tooLate(Call call, Target target, int ahead) {
        return target.departureTime(ahead) > call.dueAt() - expectedLatency(call, target);
    }

    /** Refuses a waiting request that is too late; checks again later if the expected latency has fallen. */
    private void recheckWaiting(Call call) {
        long last = call.dueAt() - expectedLatency(call, null);
        if (!call.answered && call.sentTo == null && now >= last) {
            endUnserved(call, unassigned.contains(call) ? UnservedReason.NO_SERVER : UnservedReason.TIME_UP);
        } else if (!call.answered && call.sentTo == null) {
            timers.schedule(last, () -> recheckWaiting(call));
        }
    }

    /** Whether a read probably causes a fetch there; known only if responses carry a cache status. */
    private boolean needsFetch(Call call, Target target) {
        Home home = call.request.write() || call.request.key() == null ? null : homes.get(call.request.key());
        boolean known = reportsCacheStatus && home != null;
        return known && (home.holder != target || home.heldAt < target.coldSince || now - home.heldAt > ttl);
    }

    /** Joins the fetch of its key that this balancer has in flight, if any (single flight). */
    private boolean joinFetch(Call call) {
        Call leader = fetches.get(call.request.key());
        return leader != null && leader != call && leader.followers.add(call);
    }

    private void startFetch(Call call, Lane lane) {
        call.fetchLane = lane;
        call.fetch = fetchLimit.send(now);
        fetches.put(call.request.key(), call);
        lane.idleSince = now;
        lane.inFlight++;
    }

    /** Frees its lane of the pacer, without a pause if a cache hit shows that the origin was not used. */
    private void end(Call call, boolean unused, boolean over) {
        if (call.fetchLane != null) {
            call.fetchLane.inFlight--;
            call.fetchLane.idleSince = now - (unused ? call.fetchLane.currentInterval : 0);
            call.fetchLane = null;
            if (over) {
                fetchLimit.finish(call.fetch);
            }
            endFetch(call);
            if (!pacer.queue.isEmpty()) {
                timers.schedule(now, () -> dispatch(pacer));
            }
        }
    }

    private long expectedLatency(Call call, Target target) {
        boolean fetch = target != null && (target == origin || target == pacer || call.fetchLane != null);
        Estimate usual = fetch ? originLatency : latencies.get(call.request.requestClass());
        return (long) Math.min(usual.mean + usual.deviation, EXPECTED * MAX_WAIT * call.type.targetLatency());
    }

    private void dispatch(Target target) {
        while (!target.queue.isEmpty() && target.ready()) {
            Lane lane = target.nextLane();
            long ready = Math.max(lane.readyAt(), target.coldReadyAt());
            ready = target.hasSlot() ? ready : Math.max(ready, now + shortestTarget);
            if (ready > now) {
                if (ready < Long.MAX_VALUE && (ready < target.dispatchAt || target.dispatchAt <= now)) {
                    target.dispatchAt = ready;
                    timers.schedule(ready, () -> dispatch(target));
                }
                return;
            }
            Call call = target.queue.pollFirst();
            call.queuedAt = null;
            if (now + expectedLatency(call, target) > call.dueAt() || !mayRepeat(call) || !mayResend(call)) {
                endUnserved(call, UnservedReason.NO_ROOM);
            } else if (target != pacer) {
                send(call, target, lane);
            } else if (!joinFetch(call)) {
                startFetch(call, lane);
                route(call);
            }
        }
    }

    private void send(Call call, Target target, Lane lane) {
        lane.idleSince = now;
        lane.inFlight++;
        call.lane = lane;
        call.sentTo = target;
        call.sentAt = now;
        if (settings.resendSpan() > 0 && call.attempts > 0 && !call.resendExempt) {
            resends.add(now);
        }
        call.resendExempt = false;
        int attempt = call.attempts++;
        Home home = call.request.write() && call.request.key() != null ? homes.get(call.request.key()) : null;
        if (home != null) {
            home.holder = null;
        }
        target.inFlight.add(call);
        long until = call.request.expiresAt();
        if (target != origin) {
            target.faults(call.request.requestClass()).scheduleTrial();
            target.coldCredit -= 1;
            Estimate usual = latencies.get(call.request.requestClass());
            // The initial estimate does not include the round trip and new connections.
            long guess = usual.samples < MIN_SAMPLES ? call.type.targetLatency() : 0;
            long patience = (long) Math.max(usual.mean + SUSPECT_DEVIATIONS * usual.deviation, guess);
            if (target.suspect && call.type.effect() == Effect.SAFE) {
                until = Math.min(until, now + patience);
            }
            timers.schedule(now + patience, () -> {
                if (call.sentTo == target && call.attempts == attempt + 1) {
                    addSuspicion(target, call.sentAt, SILENCE_WEIGHT);
                    if (call.type.effect() == Effect.UNSAFE && target.lastAnswerAt >= call.sentAt) {
                        recordFault(call, target, FAULT_LIMIT); // or the next one would wait as long
                    }
                }
            });
        }
        actions.send(call.request.id(), target.id, until);
    }

    /** Updates lanes, health and estimates from one outcome. */
    private void recordOutcome(Call call, Target target, Outcome o) {
        Code code = o.code();
        boolean fetch = o.cacheStatus() == CacheStatus.MISS || o.cacheStatus() == CacheStatus.MISS_FETCHING;
        // Late responses are failures, as a long queue never reports "full". Fetches reflect the origin.
        boolean failed = code == Code.FULL || code == Code.CONNECT_FAILED;
        failed |= code == Code.ERROR && target == origin;
        failed |= code == Code.TIMEOUT && (call.fetchLane == null || target.lastAnswerAt < call.sentAt);
        failed |= code == Code.OK && !fetch && target.isLate(o.elapsed(), call.type.targetLatency());
        if (failed) {
            call.lane.increase();
        } else if (!code.endedLocally && code != Code.TIMEOUT && code != Code.RESET && code != Code.ERROR) {
            call.lane.recordSuccess();
        }
        reportsCacheStatus |= o.cacheStatus() != CacheStatus.NONE;
        if (pacer != null && (call.fetchLane != null || fetch)) {
            Lane lane = call.fetchLane != null ? call.fetchLane : pacer.nextLane();
            // A late cancel is a timeout. If few servers fail the class, the error is not the origin's.
            int type = call.request.requestClass();
            if (code == Code.ERROR && (target.faults(type).score < RESET_WEIGHT || isCommonFault(type))
                    || code == Code.TIMEOUT
                    || code == Code.CANCELLED && o.elapsed() > call.type.targetLatency()
                    || fetch && o.elapsed() > LATE_FETCH * call.type.targetLatency()) {
                lane.increase();
            } else if (code == Code.OK) { // also for hits, as failures are counted over both
                lane.recordSuccess();
            }
            if (fetch && code == Code.OK) {
                pacer.recordServed(o.elapsed());
                if (call.fetchLane != null) {
                    fetchLimit.answered(call.fetch, originLatency.deviation);
                }
                originLatency.add(o.elapsed());
            }
        }
        if (code == Code.OK || code == Code.FULL || code == Code.ERROR || code == Code.MISS) {
            recordAnswer(target);
        } else if (!o.code().endedLocally) {
            int weight = code == Code.RESET ? RESET_WEIGHT : SILENCE_WEIGHT;
            addSuspicion(target, call.sentAt, code == Code.CONNECT_FAILED ? CONNECT_WEIGHT : weight);
        }
        if (code == Code.ERROR) {
            recordFault(call, target, SILENCE_WEIGHT);
        }
        if (code == Code.OK || code == Code.MISS) {
            ClassFaults faults = target.faults(call.request.requestClass());
            faults.score /= 2;
            faults.updateExclusion(faults.excluded);
            target.recordServed(o.elapsed());
            if (target != origin && target.warmth() == 1) {
                warmRate.add(now);
            }
        }
        if (code == Code.OK) {
            (target == origin ? originLatency : latencies.get(call.request.requestClass())).add(o.elapsed());
            retryBudget = Math.min(MAX_RETRY_BUDGET, retryBudget + RETRY_RATIO);
            delays.recordServed();
            Home home = target == origin || call.request.key() == null ? null : homes.get(call.request.key());
            if (home != null && !call.request.write() && reportsCacheStatus) {
                if (fetch && call.fetchLane == null) {
                    ttl = Math.max(shortestDeadline, ttl * RETENTION_DECREASE);
                } else if (!fetch && call.fetchLane != null && home.holder == target) {
                    ttl = Math.min(KEY_TTL * settings.coldTime(), ttl * RETENTION_INCREASE);
                }
                if (fetch || home.holder != target) {
                    home.holder = target;
                    home.heldAt = now;
                }
            }
            if (home != null) {
                home.recordServed(now, targets.size() / arrivals.at(now));
            }
            target.slowness = Stats.smooth(target.slowness, (double) o.elapsed() / call.type.targetLatency());
        }
    }

    /** Retries or ends a request after an outcome that did not answer it. */
    private void retryOrFinish(Call call, Target target, Outcome o) {
        // A first connection reset leaves the key at its home: elsewhere it would be a cache miss.
        boolean broke = o.code() == Code.RESET && call.attempts == 1;
        if (o.code() != Code.MISS && !o.code().endedLocally && o.code() != Code.ERROR && !broke) {
            call.failedAt.add(target);
        }
        long wait = call.lane.currentInterval;
        if (o.code() == Code.MISS) {
            call.missed = call.resendExempt = true;
            route(call);
            return;
        }
        if (target == origin && !call.request.write() && o.code() != Code.FULL) {
            endFetch(call);
        }
        boolean late = now + wait + expectedLatency(call, target) > call.request.expiresAt();
        if (!o.code().endedLocally && retryBudget < 1 || late || !mayRepeat(call) || !mayResend(call)) {
            endUnserved(call, retryBudget < 1 ? UnservedReason.NO_BUDGET : UnservedReason.SPENT);
        } else {
            retryBudget -= o.code().endedLocally ? 0 : 1;
            timers.schedule(now + wait, () -> route(call));
        }
    }

    /** Rule: a request that may have been executed is repeated only as its class allows. */
    private boolean mayRepeat(Call call) {
        boolean withinWindow =
                call.type.effect() == Effect.KEYED && now < call.ranSince + call.type.deduplicationWindow();
        return call.ranOn == null || call.type.effect() == Effect.SAFE || withinWindow;
    }

    /** Rule: the resend limit, checked before the retry delay and at each send. */
    private boolean mayResend(Call call) {
        long from = now - settings.resendSpan();
        boolean free = settings.resendSpan() == 0 || call.attempts == 0 || call.resendExempt;
        double max = settings.freeResends() + settings.resendShare() * (free ? 0 : requests.countAfter(from));
        return free || resends.countAfter(from - 1) < Math.floor(max);
    }

    private boolean inGroup(Call call, Target target) {
        Server ran = call.type.effect() == Effect.KEYED ? call.ranOn : null;
        boolean any = ran == null || call.type.group() == Group.ALL;
        boolean zone = call.type.group() == Group.ZONE;
        return any || (zone ? ran.zone() == target.entry.zone() : ran.cell() == target.entry.cell());
    }

    /** Ends a request that was not served: refused if it certainly was not executed, else failed. */
    private void endUnserved(Call call, UnservedReason reason) {
        if (call.answered) {
            return;
        }
        call.answered = true;
        unserved[reason.ordinal()]++;
        if (call.sentTo != null && call.fetchLane != null) {
            call.fetchLane.increase(); // timed out, most likely waiting for the origin
        } else if (call.sentTo != null && call.sentTo.lastAnswerAt >= call.sentAt) {
            recordFault(call, call.sentTo, RESET_WEIGHT); // timed out while others were answered
        }
        boolean refusable = call.ranOn == null && call.sentTo == null || call.type.effect() == Effect.SAFE;
        refusable |= call.type.effect() == Effect.KEYED && call.type.group() == Group.ALL;
        if (refusable) {
            Target at = call.queuedAt;
            long wait = at == null ? 0 : Math.max(0, at.departureTime(at.queue.size()) - now);
            long max = settings.retryAfter() ? settings.maxRetryAfter() : 0;
            actions.refuse(call.request.id(), Math.min(delays.recordRefused(wait, random.nextDouble()), max));
        } else {
            actions.fail(call.request.id());
        }
        finish(call);
    }

    private void finish(Call call) {
        if (call.queuedAt != null) {
            call.queuedAt.queue.remove(call);
            call.queuedAt = null;
        }
        unassigned.remove(call);
        endFetch(call);
        if (call.sentTo == null) {
            end(call, false, true);
            calls.remove(call.request.id());
        }
    }

    /** Ends a fetch that other calls have joined; they are sent to the cache again. */
    private void endFetch(Call leader) {
        String key = leader.request.key();
        if (key != null && fetches.get(key) == leader) {
            fetches.remove(key);
            leader.followers.forEach(follower -> follower.missed = false);
            reroute(leader.followers);
        }
    }

    private void reroute(Collection<Call> waiting) {
        List<Call> moved = List.copyOf(waiting);
        waiting.clear();
        for (Call call : moved) {
            call.queuedAt = null;
            route(call);
        }
    }

    private void recordAnswer(Target target) {
        if (target.zone != null) {
            recordAnswer(target.zone);
        }
        for (Target t : target.suspect ? targets.values() : List.<Target>of()) {
            if (target.covers(t) && now - t.lastAnswerAt > shortestDeadline) {
                t.markCold(now);
            }
            if (target.covers(t)) {
                clearSuspicion(t); // the zone's failure explains that of its servers
            }
        }
        clearSuspicion(target);
        target.lastAnswerAt = now;
        target.suspicion = 0;
    }

    private void clearSuspicion(Target target) {
        if (target.suspect) {
            actions.log("server responding again: " + target.id);
        }
        target.suspect = false;
        target.backoff.currentInterval = 0;
    }

    /** Counts a missing response to a request sent at {@code since}, unless the target answered since. */
    private void addSuspicion(Target target, long since, int weight) {
        if (target == origin || target.lastAnswerAt >= since) {
            return;
        }
        if (target.suspect) {
            target.backoff.increase();
        } else if ((target.suspicion += weight) >= (target.zone == null ? ZONE_FAULT_LIMIT : FAULT_LIMIT)) {
            markSuspect(target);
        }
        if (target.zone != null && zones.values().stream().anyMatch(zone -> zone.lastAnswerAt >= since)) {
            addSuspicion(target.zone, since, Math.min(weight, SILENCE_WEIGHT));
        }
    }

    private void recordFault(Call call, Target target, double weight) {
        if (target != origin) {
            int type = call.request.requestClass();
            target.faults(type).score = Math.min(2 * FAULT_LIMIT, target.faults(type).score + weight);
            boolean common = isCommonFault(type);
            targets.values().forEach(t -> t.faults(type).updateExclusion(!common));
        }
    }

    /** Whether so many servers fail a class that the cause must be the origin behind them. */
    private boolean isCommonFault(int type) {
        return COMMON_FAULT_DIVISOR * countReady(t -> t.faults(type).isFailing()) > countReady(t -> true);
    }

    private long countReady(Predicate<Target> which) {
        return targets.values().stream().filter(t -> t.ready() && which.test(t)).count();
    }

    /** Stops using a silent server or zone until a trial is answered, and recalls its work. */
    private void markSuspect(Target target) {
        long suspects = countReady(t -> t.suspect);
        if (target.zone != null
                && SUSPECT_DIVISOR * (suspects + 1) > Math.max(countReady(t -> true), SUSPECT_DIVISOR)) {
            return; // If many are silent it is overload or our own pause; moving keys would make it worse.
        }
        actions.log("server not responding: " + target.id);
        target.suspect = true;
        anySuspect = true;
        target.backoff.increase();
        target.nextTrialAt = now + target.backoff.currentInterval;
        for (Target t : targets.values()) {
            if (target.covers(t)) {
                recallWork(t);
            }
        }
    }

    private void recallWork(Target target) {
        actions.closeIdle(target.id);
        boolean may = settings.mayCancel() && settings.resendSpan() == 0; // resends are not for moving work
        for (Call h : target.inFlight) {
            if (may && !h.answered && h.type.effect() == Effect.SAFE && h.attempts < h.maxAttempts) {
                actions.cancel(h.request.id(), h.attempts - 1);
            }
        }
        reroute(target.queue);
    }

    private Target chooseServer(Call call) {
        trials = Math.min(1, trials + (call.attempts == 0 ? TRIAL_RATIO : 0));
        boolean trial = call.type.effect() == Effect.SAFE && call.attempts == 0 && trials >= 1 && anySuspect;
        String key = call.request.key();
        Home home = key == null ? new Home(now) : homes.computeIfAbsent(key, k -> new Home(now));
        if (now - home.usedAt > settings.coldTime()) {
            home.target = null;
        }
        home.usedAt = now;
        Target target = home.target;
        if (target != null && !trial && fits(call, target) && target.load() * meanWeight <= HIGH_LOAD) {
            return target;
        }
        List<Target> usable = new ArrayList<>(targets.size());
        List<Target> doubtful = new ArrayList<>(0);
        double weights = 0;
        double counts = 0;
        warmWeights = 0;
        allWeights = 0;
        for (Target t : targets.values()) {
            allWeights += t.ready() ? t.entry.weight() : 0;
            warmWeights += t.ready() && t.warmth() == 1 ? t.entry.weight() : 0;
            if (t.ready() && inGroup(call, t)) {
                (t.isSilent() ? doubtful : usable).add(t);
                weights += t.entry.weight();
                counts += t.queue.size() + t.inFlight.size();
            }
        }
        anySuspect = !doubtful.isEmpty();
        for (Target t : doubtful) {
            if (trial && now >= Math.max(t.nextTrialAt, t.zone.suspect ? t.zone.nextTrialAt : 0)) {
                trials = 0;
                t.nextTrialAt = now + (t.zone.suspect ? 2 * shortestDeadline : t.backoff.currentInterval);
                t.zone.nextTrialAt = now + t.zone.backoff.currentInterval;
                return t;
            }
        }
        usable = usable.isEmpty() ? doubtful : usable;
        if (usable.isEmpty()) {
            return null;
        }
        double mean = counts / weights;
        meanWeight = weights / usable.size();
        if (target == null || !usable.contains(target)) {
            home.target = leastLoaded(call, home, usable, mean, null);
            return home.target;
        }
        boolean overfull = target.load() > Math.max(HIGH_LOAD_FACTOR * mean, HIGH_LOAD / meanWeight);
        if (!overfull && fits(call, target)) {
            return target;
        }
        boolean cached = !overfull && usable.contains(home.holder) && fits(call, home.holder); // no fetch
        Target other = cached ? home.holder : leastLoaded(call, home, usable, mean, target);
        other = other == null ? target : other;
        home.target = overfull && other.load() < Math.max(mean, LOW_LOAD / meanWeight) ? other : home.target;
        return overfull ? home.target : other;
    }

    private boolean fits(Call call, Target to) {
        boolean free = to.ready() && !to.isSilent() && inGroup(call, to) && to.coldReadyAt() <= now;
        return free && !to.faults(call.request.requestClass()).isBlocked() && !call.failedAt.contains(to);
    }

    /** The least loaded server; at low or equal loads the key's rendezvous hash decides. */
    private Target leastLoaded(Call call, Home home, List<Target> usable, double mean, Target excluded) {
        String key = call.request.key();
        long keyHash = key == null ? random.nextLong() : Stats.hash(key) + (salt & home.homeCount - 1);
        Target best = null;
        double bestLoad = 0;
        double bestRank = 0;
        double low = Math.max(mean, LOW_LOAD / meanWeight);
        for (int pass = 0; pass < 2 && best == null; pass++) {
            for (Target target : usable) {
                if (target == excluded || pass == 0 && !fits(call, target)) {
                    continue;
                }
                double load = target.load() < low ? 0 : target.load();
                double near = home.homeCount > 1 && target.entry.zone() == settings.zone() ? LOCAL_FACTOR : 1;
                double rank = -near * target.entry.weight() / Math.log(Stats.uniform(keyHash ^ target.hash));
                if (best == null || load < bestLoad || load == bestLoad && rank > bestRank) {
                    best = target;
                    bestLoad = load;
                    bestRank = rank;
                }
            }
        }
        return best;
    }
}
