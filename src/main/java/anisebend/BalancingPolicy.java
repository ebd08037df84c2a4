package anisebend;

import anisebend.Measures.Estimate;
import anisebend.Measures.Rate;
import anisebend.Measures.Window;
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
 * The policy. Events, actions and records: {@code Balancer}; what each defence covers: docs/design/module.md.
 * The key table (or, after a miss, the origin) gives a request its server; it waits in that server's queue
 * for the earliest free lane, and is sent; each lane's {@link AdaptiveInterval} grows on failure and shrinks after
 * counted successes. All times are the caller's, in microseconds.
 */
public final class BalancingPolicy implements Balancer {
    private static final int LANES = 2;
    /** A key moves when its server holds HIGH times the mean and another less than it; floors in requests. */
    private static final double HIGH = 3;

    private static final double HIGH_FLOOR = 8;
    private static final double LOW_FLOOR = 2;
    private static final int TABLE_SIZE = 1 << 13;
    /** A key unused for this many cold times is forgotten, one at each key that comes new. */
    private static final long FORGOTTEN = 4;
    /** Deviations past the mean after which an unanswered request makes its server suspect. */
    private static final double PATIENCE = 4;
    /** What tells against a server that has not answered since, and from what sum on it is suspect. */
    private static final int REFUSED = 4;

    private static final int SILENT = 2;
    private static final int BROKEN = 1;
    private static final int CONVICTED = 4;
    /** The same for a zone that is silent while others answer: three in a row, a refused connect as one. */
    private static final int ZONE_CONVICTED = 6;
    /** From CONVICTED on a class goes elsewhere, unless more than one server in so many fail it. */
    private static final int FAULTY_PART = 2;
    /** The part of the usual rate of fetches that the ledger's lanes still carry at the longest interval. */
    private static final double LEDGER_LEAST = 0.4;

    private static final double KEEPS_DOWN = 0.95;
    private static final double KEEPS_UP = 1.02;
    /** A fetch that took longer than this part of the aim tells that the ledger has no room. */
    private static final double FETCH_LATE = 1.5;
    /** Answers after which a class's usual time is known. */
    private static final int ENOUGH = 64;
    /** One server in so many may be suspect at a time; the operators have seen a sixth go silent. */
    private static final int SUSPECT_PART = 3;
    /** A server whose answers take this part of their aim has no room for work beyond a tenant's share. */
    private static final double PRESSED = 0.5;
    /** Retries that each served request earns, and how many may be saved: they must not feed their cause. */
    private static final double RETRY_SHARE = 0.2;

    private static final double RETRY_BURST = 10;
    /** Part of the requests that may try suspect servers, however many there are. */
    private static final double TRIAL_SHARE = 0.1;
    /** Times its homes' part of all requests that a key must be asked for to get more homes. */
    private static final double HOT = 2;
    /** Weight of a server of the own zone in the order of a key with copies. */
    private static final double NEAR = 8;

    /** What a cold server may get over its part of a warm one's usual work. */
    private static final double COLD_ROOM = 1.5;
    /** So many wanted times after its arrival a request that has only waited leaves no more. */
    private static final double LATE = 1.7;
    /** Never more than this part of that is expected: what is only believed must go on being tried. */
    private static final double EXPECTED = 0.9;

    private final Actions actions;
    private SplittableRandom random;
    private Settings settings;
    private long now;
    private long shortestDeadline;
    private long shortestAim;
    private int salt;
    private long sequence;
    private final Map<String, Target> targets = new LinkedHashMap<>();
    private Target origin;
    /** The servers of each zone as one: thin traffic tells of a zone long before it tells of each of them. */
    private final Map<Integer, Target> zones = new HashMap<>();
    /** Where servers fetch for themselves: lanes that pace what will probably be fetched, at any of them. */
    private Target ledger;

    private final FetchLimit fetching = new FetchLimit();
    private final Map<String, Held> open = new HashMap<>();
    private final LinkedHashSet<Held> homeless = new LinkedHashSet<>();
    private final Map<String, Held> fetches = new HashMap<>();
    private final Map<String, Home> table = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Home> eldest) {
            return size() > TABLE_SIZE || now - eldest.getValue().used > FORGOTTEN * settings.coldTime();
        }
    };
    private final Alarms alarms = new Alarms();
    private AdaptiveInterval listSleeper;
    private Rate arrivals;
    /** Answers of warm servers, and the weights of these and of all at the last look at the whole fleet. */
    private Rate carried;

    private double warmWeights;
    private double allWeights;
    private double unit;
    private boolean someSuspect;
    private boolean tells; // whether answers tell what was fetched
    /** How long after its fetch a copy is taken for kept; learned from forecasts that failed. */
    private double keeps;

    private TenantShares shares;
    private final List<Estimate> cacheTimes = new ArrayList<>();
    private Estimate originTime;
    private double retries = RETRY_BURST;
    private double trials;
    private final RetryDelay comeBack = new RetryDelay();
    private final Window taken = new Window();
    private final Window resent = new Window();
    private final long[] given = new long[UnservedReason.values().length];

    /** A balancer that issues its actions to {@code actions}. */
    public BalancingPolicy(Actions actions) {
        this.actions = actions;
    }

    /** A cache server or the origin, with what is held for it and what is known of its health. */
    private final class Target {
        final String id;
        final long hash;
        final List<Lane> lanes = new ArrayList<>();
        final Rate rate = new Rate(Math.max(settings.coldTime() / 4.0, shortestDeadline));
        final AdaptiveInterval trials =
                new AdaptiveInterval(random, shortestDeadline / Lane.MAX_PART, shortestDeadline);
        final TreeSet<Held> queue = new TreeSet<>(Held.LEAVING);
        final LinkedHashSet<Held> inFlight = new LinkedHashSet<>();
        final List<Faults> faults = new ArrayList<>();
        Server entry;
        Target zone; // null for a zone, the origin and the ledger
        long lastAnswer;
        long coldSince = Long.MIN_VALUE;
        /** What a cold server may be sent, earned over time; a send takes 1. */
        double credit;

        long creditAt;
        long pumpAt = Long.MAX_VALUE;
        long trialAt;
        boolean suspect;
        int doubts;
        double slowness;
        double answer; // what one usually takes
        /** The quickest answer so far: the way there and back, which no restraint shortens. */
        long quickest = Long.MAX_VALUE;

        Target(Server entry) {
            this.id = entry.id();
            this.hash = Measures.hash(entry.id());
            this.entry = entry;
            this.lastAnswer = now;
            for (int i = 0; i < LANES; i++) {
                lanes.add(new Lane(random, shortestDeadline));
            }
        }

        Faults faults(int requestClass) {
            while (faults.size() <= requestClass) {
                faults.add(new Faults(settings.classes().get(faults.size()).effect()));
            }
            return faults.get(requestClass);
        }

        boolean ready() {
            return entry.state() == State.READY;
        }

        ServerView view() {
            long mean = lanes.stream().mapToLong(lane -> lane.currentInterval).sum() / lanes.size();
            int out = (int) faults.stream().filter(fault -> fault.out).count();
            int waiting = queue.size();
            int sent = inFlight.size();
            return new ServerView(
                    id, entry.state(), silent(), warmth(), lanes.size(), mean, waiting, sent, out, slowness);
        }

        boolean silent() {
            return suspect || zone != null && zone.suspect;
        }

        /** Whether that is this server, or one of this zone. */
        boolean covers(Target other) {
            return other == this || other.zone == this;
        }

        double load() {
            return (queue.size() + inFlight.size()) / entry.weight();
        }

        Lane earliest() {
            Lane best = lanes.get(0);
            for (Lane lane : lanes) {
                lane.rest(now);
                if (lane.readyAt() < best.readyAt()
                        || lane.readyAt() == best.readyAt() && lane.restSince < best.restSince) {
                    best = lane;
                }
            }
            return best;
        }

        boolean room() {
            boolean bounded = this == ledger && originTime.samples >= ENOUGH;
            return !bounded || fetching.room(now, rate.peak, shortestAim, shortestDeadline);
        }

        /** When a request with {@code ahead} others before it may leave. */
        long leaves(int ahead) {
            long sum = 0;
            long first = Long.MAX_VALUE;
            for (Lane lane : lanes) {
                sum += lane.currentInterval + (lane.currentInterval > 0 ? (long) answer : 0);
                first = Math.min(first, lane.restSince + lane.currentInterval);
            }
            double full = room() ? 0 : ahead * Measures.MICROS / Math.max(1, rate.at(now));
            long queued = Math.max((long) full, ahead * sum / lanes.size() / lanes.size());
            return Math.max(Math.max(now, first), coldWait()) + queued;
        }

        /** Keeps as many lanes as carry the usual rate at the longest interval and the time of an answer. */
        void servedOne(long elapsed) {
            rate.add(now);
            answer = answer == 0 ? elapsed : Measures.smooth(answer, elapsed);
            double usual = Math.min(answer, PRESSED * shortestAim);
            double least = this == ledger ? LEDGER_LEAST : 1;
            if (least * rate.peak * (lanes.get(0).maxInterval + usual) > lanes.size() * Measures.MICROS) {
                lanes.add(new Lane(random, shortestDeadline));
            }
        }

        /** Whether an answer took so long of what the way leaves of its aim that the server has no room. */
        boolean late(long elapsed, long aim) {
            quickest = Math.min(quickest, elapsed);
            double way = Math.min(quickest, aim * PRESSED);
            return elapsed - way > PRESSED * (aim - way);
        }

        boolean pressed() {
            return slowness > PRESSED || earliest().readyAt() > now || !queue.isEmpty();
        }

        void cool(long since) {
            coldSince = since;
            credit = random.nextDouble();
            creditAt = now;
        }

        /**
         * Until when a cold server's allowance is used up. It earns its part of what warm ones carry from
         * here, by weight (of all requests where none is warm), from a chance point on: so sums hold too.
         */
        long coldWait() {
            if (warmth() == 1) {
                return 0;
            }
            double usual = warmWeights > 0 ? carried.at(now) / warmWeights : arrivals.at(now) / allWeights;
            double perMicro = COLD_ROOM * warmth() * usual * entry.weight() / Measures.MICROS;
            credit = Math.min(1, credit + (now - creditAt) * perMicro);
            creditAt = now;
            double earned = now + 1 + (1 - credit) / perMicro;
            return credit >= 1 ? 0 : (long) Math.min(coldSince + settings.coldTime(), earned);
        }

        /** The part of its full capacity that a server can be trusted with, 1 when warm. */
        double warmth() {
            long age = now - coldSince;
            if (coldSince == Long.MIN_VALUE || age >= settings.coldTime()) {
                return 1;
            }
            return settings.coldShare() + (1 - settings.coldShare()) * age / settings.coldTime();
        }
    }

    /** What a server does to one class, while it answers others. */
    private final class Faults {
        final AdaptiveInterval trials;
        double sum;
        boolean out;
        long trialAt;

        /** A trial of what may not be repeated is lost if it fails, so there are few. */
        Faults(Effect effect) {
            long first = Math.max(shortestDeadline, effect == Effect.SAFE ? 0 : settings.coldTime() / 2);
            trials = new AdaptiveInterval(random, first, 4 * first);
        }

        boolean failing() {
            return sum >= CONVICTED;
        }

        void leaveOutIfFailing(boolean allowed) {
            if (out != (allowed && failing())) {
                out = !out;
                trials.currentInterval = 0;
                trialAt = 0;
                rest();
            }
        }

        /** While a server is left out, each try puts the next one off. */
        void rest() {
            if (out && now >= trialAt) {
                trials.goUp();
                trialAt = now + trials.currentInterval;
            }
        }

        boolean shut() {
            return out && now < trialAt;
        }
    }

    /** Where a key lives, and since when nobody asked. */
    private static final class Home {
        Target target;
        long used;
        long served;
        double interval;
        int copies = 1;
        /** The server that has answered a read of it last, and when; what it keeps needs no fetch there. */
        Target kept;

        long keptAt;

        Home(long now) {
            used = now;
        }

        /** A key served well over once in {@code part} seconds, a server's part, gets twice as many homes. */
        void servedOne(long now, double part) {
            interval = served == 0 ? 0 : interval == 0 ? now - served : (interval + now - served) / 2;
            served = now;
            if (interval > 0 && part * Measures.MICROS > HOT * copies * interval) {
                copies *= 2;
                target = null;
            }
        }
    }

    /** A request that is owed an answer or has an attempt out. */
    private static final class Held {
        static final Comparator<Held> LEAVING =
                (a, b) -> a.worth == b.worth ? Long.compare(b.order, a.order) : a.worth > b.worth ? -1 : 1;
        final Request request;
        final RequestClass type;
        final long order;
        final double worth;
        final boolean over;
        final long useful;
        final List<Held> followers = new ArrayList<>(0);
        /** Servers that turned it away or left it without an answer. */
        final List<Target> failedAt = new ArrayList<>(0);

        int attempts;
        int most;
        boolean answered;
        boolean missed;
        /** Its last attempt was a miss, so that the next is outside the ration. */
        boolean unrationed;

        Target queuedAt;
        Target out;
        Lane lane;
        /** The ledger's lane that it holds, if it will probably be fetched. */
        Lane fetch;

        FetchLimit.Fetch asked;
        long sentAt;
        /** Server and time of the first attempt that may have run, once there is one. */
        Server ranAt;

        long ranSince;

        Held(Request request, RequestClass type, long order, double worth, boolean over, long useful) {
            this.request = request;
            this.type = type;
            this.order = order;
            this.worth = worth;
            this.over = over;
            this.useful = useful;
        }

        long until() {
            return attempts == 0 ? useful : request.expiresAt();
        }
    }

    // ---- events

    private void take(Settings given) {
        given.check(Lane.INITIAL_PART);
        settings = given;
        List<RequestClass> all = given.classes();
        shortestDeadline = all.stream().mapToLong(RequestClass::deadline).min().getAsLong();
        shortestAim = all.stream().mapToLong(RequestClass::targetLatency).min().getAsLong();
        while (cacheTimes.size() < all.size()) {
            cacheTimes.add(new Estimate(all.get(cacheTimes.size()).targetLatency() / 4.0));
        }
    }

    @Override
    public void reconfigure(long time, Settings given) {
        now = time;
        boolean others = !given.tenants().equals(settings.tenants());
        take(given);
        shares = others ? new TenantShares(given.tenants(), given.balancers(), shares.span, arrivals) : shares;
        shares.balancers = given.balancers();
    }

    @Override
    public void start(long time, long seed, Settings given) {
        now = time;
        take(given);
        random = new SplittableRandom(seed);
        salt = random.nextInt();
        originTime = new Estimate(shortestAim / 4.0);
        double span = Math.max(given.coldTime() / 4.0, shortestDeadline);
        arrivals = new Rate(span);
        carried = new Rate(span);
        shares = new TenantShares(given.tenants(), given.balancers(), span, arrivals);
        if (given.originKind() < 0) {
            ledger = new Target(new Server("ledger", 0, 0, 0, State.READY, 1, 0));
            keeps = FORGOTTEN * given.coldTime();
        }
        if (given.listMustBeAsked()) {
            long within = given.listAskWithin();
            listSleeper = new AdaptiveInterval(random, within / Lane.INITIAL_PART, within / Lane.MAX_PART);
            actions.subscribe();
        }
        alarms.arm(actions);
    }

    @Override
    public void servers(long time, ListKind kind, List<Server> entries) {
        now = time;
        if (kind == ListKind.FAILED) {
            if (listSleeper != null) {
                listSleeper.goUp();
                alarms.set(now + listSleeper.currentInterval, actions::subscribe);
            }
            alarms.arm(actions);
            return;
        }
        if (listSleeper != null && kind != ListKind.CACHED) {
            listSleeper.currentInterval = 0;
        }
        LinkedHashSet<String> listed = new LinkedHashSet<>();
        for (Server entry : entries) {
            listed.add(entry.id());
            learn(entry);
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
        reroute(homeless);
        alarms.arm(actions);
    }

    private void learn(Server entry) {
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
                    target.cool(entry.startedAt());
                }
            }
            return;
        }
        boolean restarted = entry.startedAt() > target.entry.startedAt();
        target.entry = entry;
        if (restarted && !isOrigin) {
            target.faults.clear();
            revive(target);
            target.cool(Math.max(entry.startedAt(), target.coldSince));
        }
    }

    @Override
    public void request(long time, Request request) {
        now = time;
        if (open.containsKey(request.id())) {
            return;
        }
        RequestClass type = settings.classes().get(request.requestClass());
        boolean over = shares.over(now, request.tenant());
        double worth = type.importance() * (over ? settings.overShareFactor() : 1);
        long useful = Math.min(request.expiresAt(), (long) (now + LATE * type.targetLatency()));
        Held held = new Held(request, type, sequence++, worth, over, useful);
        held.most = settings.maxAttempts();
        open.put(request.id(), held);
        arrivals.add(now);
        if (settings.resendSpan() > 0) {
            taken.add(now);
        }
        alarms.set(request.expiresAt(), () -> conclude(held, UnservedReason.TIME_UP));
        alarms.set(held.useful - typical(held, null), () -> unsent(held));
        alarms.set(request.expiresAt() - typical(held, null), () -> unsent(held));
        route(held);
        alarms.arm(actions);
    }

    @Override
    public void outcome(long time, Outcome o) {
        now = time;
        Held held = open.get(o.request());
        if (held == null || held.out == null || o.attempt() != held.attempts - 1) {
            return;
        }
        Target target = held.out;
        held.out = null;
        target.inFlight.remove(held);
        held.lane.out--;
        held.lane.restSince = now;
        feedback(held, target, o);
        letGo(held, o.cacheStatus() == CacheStatus.HIT, o.code() != Code.CANCELLED && o.code() != Code.TIMEOUT);
        if (o.code().mayHaveRun && held.ranAt == null) {
            held.ranAt = target.entry;
            held.ranSince = held.sentAt;
        }
        held.answered |= o.requestFinished();
        if (held.answered) {
            finish(held);
        } else {
            react(held, target, o);
        }
        pump(target);
        alarms.arm(actions);
    }

    @Override
    public void abandoned(long time, String request) {
        now = time;
        Held held = open.get(request);
        if (held != null) {
            held.answered = true;
            finish(held);
        }
        alarms.arm(actions);
    }

    @Override
    public void timer(long time, long token) {
        now = time;
        alarms.run(now, token);
        alarms.arm(actions);
    }

    @Override
    public View view(long time) {
        now = time;
        List<ServerView> views =
                new ArrayList<>(targets.values().stream().map(Target::view).toList());
        views.addAll(ledger == null ? List.of() : List.of(ledger.view()));
        return new View(views, homeless.size(), open.size(), retries, given.clone());
    }

    // ---- the way of a request

    private void route(Held held) {
        if (held.answered) {
            return;
        }
        String key = held.request.key();
        if (held.attempts >= held.most || now >= held.request.expiresAt() || !mayRepeat(held)) {
            conclude(held, UnservedReason.SPENT);
            return;
        }
        boolean aside = settings.originKind() >= 0;
        Target target = aside && (held.request.write() || held.missed) ? origin : choose(held);
        boolean shared = aside && !held.request.write() && key != null;
        if (shared && follows(held)) {
            return;
        }
        if (shared && held.missed) {
            fetches.put(key, held);
        }
        if (target == null || !target.ready()) {
            homeless.add(held);
            return;
        }
        if (held.over && target.pressed()) {
            conclude(held, UnservedReason.OVER_SHARE);
            return;
        }
        if (ledger != null && held.fetch == null && fetched(held, target)) {
            if (follows(held)) {
                return;
            }
            if (ledger.queue.isEmpty() && ledger.room() && ledger.earliest().readyAt() <= now) {
                hold(held, ledger.earliest());
            } else if (held.over) {
                conclude(held, UnservedReason.OVER_SHARE);
                return;
            } else {
                target = ledger;
            }
        }
        target.queue.add(held);
        held.queuedAt = target;
        boolean free = target.room() && target.earliest().readyAt() <= now;
        int ahead = free ? 0 : target.queue.headSet(held).size();
        if (tooLate(held, target, ahead)) {
            conclude(held, UnservedReason.NO_ROOM);
            return;
        }
        pump(target);
        // The newest leave first, so one more may be one too many for those behind: they are told at once.
        while (!target.queue.isEmpty() && tooLate(target.queue.last(), target, target.queue.size() - 1)) {
            conclude(target.queue.last(), UnservedReason.NO_ROOM);
        }
    }

    /** Whether a request with {@code ahead} others before it leaves too late to be answered in time. */
    private boolean tooLate(Held held, Target target, int ahead) {
        return target.leaves(ahead) > held.until() - typical(held, target);
    }

    /** Refuses what waits and could only come too late; looks again where less is expected than before. */
    private void unsent(Held held) {
        long last = held.until() - typical(held, null);
        if (!held.answered && held.out == null && now >= last) {
            conclude(held, homeless.contains(held) ? UnservedReason.NO_SERVER : UnservedReason.TIME_UP);
        } else if (!held.answered && held.out == null) {
            alarms.set(last, () -> unsent(held));
        }
    }

    /** Whether a read of this key will probably be a fetch at that server; known only where answers tell. */
    private boolean fetched(Held held, Target target) {
        Home home = held.request.write() || held.request.key() == null ? null : table.get(held.request.key());
        boolean known = tells && home != null;
        return known && (home.kept != target || home.keptAt < target.coldSince || now - home.keptAt > keeps);
    }

    /** Waits for a fetch of its key that is out from here already, if one is. */
    private boolean follows(Held held) {
        Held leader = fetches.get(held.request.key());
        return leader != null && leader != held && leader.followers.add(held);
    }

    private void hold(Held held, Lane lane) {
        held.fetch = lane;
        held.asked = fetching.send(now);
        fetches.put(held.request.key(), held);
        lane.restSince = now;
        lane.out++;
    }

    /** Gives its lane at the ledger back, rested where a hit shows that the ledger was asked for nothing. */
    private void letGo(Held held, boolean unused, boolean over) {
        if (held.fetch != null) {
            held.fetch.out--;
            held.fetch.restSince = now - (unused ? held.fetch.currentInterval : 0);
            held.fetch = null;
            if (over) {
                fetching.over(held.asked);
            }
            release(held);
            if (!ledger.queue.isEmpty()) {
                alarms.set(now, () -> pump(ledger));
            }
        }
    }

    private long typical(Held held, Target target) {
        boolean fetch = target != null && (target == origin || target == ledger || held.fetch != null);
        Estimate usual = fetch ? originTime : cacheTimes.get(held.request.requestClass());
        return (long) Math.min(usual.mean + usual.deviation, EXPECTED * LATE * held.type.targetLatency());
    }

    private void pump(Target target) {
        while (!target.queue.isEmpty() && target.ready()) {
            Lane lane = target.earliest();
            long ready = Math.max(lane.readyAt(), target.coldWait());
            ready = target.room() ? ready : Math.max(ready, now + shortestAim);
            if (ready > now) {
                if (ready < Long.MAX_VALUE && (ready < target.pumpAt || target.pumpAt <= now)) {
                    target.pumpAt = ready;
                    alarms.set(ready, () -> pump(target));
                }
                return;
            }
            Held held = target.queue.pollFirst();
            held.queuedAt = null;
            if (now + typical(held, target) > held.until() || !mayRepeat(held) || !mayResend(held)) {
                conclude(held, UnservedReason.NO_ROOM);
            } else if (target != ledger) {
                send(held, target, lane);
            } else if (!follows(held)) {
                hold(held, lane);
                route(held);
            }
        }
    }

    private void send(Held held, Target target, Lane lane) {
        lane.restSince = now;
        lane.out++;
        held.lane = lane;
        held.out = target;
        held.sentAt = now;
        if (settings.resendSpan() > 0 && held.attempts > 0 && !held.unrationed) {
            resent.add(now);
        }
        held.unrationed = false;
        int attempt = held.attempts++;
        Home home = held.request.write() && held.request.key() != null ? table.get(held.request.key()) : null;
        if (home != null) {
            home.kept = null;
        }
        target.inFlight.add(held);
        long until = held.request.expiresAt();
        if (target != origin) {
            target.faults(held.request.requestClass()).rest();
            target.credit -= 1;
            Estimate usual = cacheTimes.get(held.request.requestClass());
            // The first guess knows nothing of the way and of new connections.
            long guess = usual.samples < ENOUGH ? held.type.targetLatency() : 0;
            long patience = (long) Math.max(usual.mean + PATIENCE * usual.deviation, guess);
            if (target.suspect && held.type.effect() == Effect.SAFE) {
                until = Math.min(until, now + patience);
            }
            alarms.set(now + patience, () -> {
                if (held.out == target && held.attempts == attempt + 1) {
                    doubt(target, held.sentAt, SILENT);
                    if (held.type.effect() == Effect.UNSAFE && target.lastAnswer >= held.sentAt) {
                        fault(held, target, CONVICTED); // the next one must not wait as long to tell
                    }
                }
            });
        }
        actions.send(held.request.id(), target.id, until);
    }

    /** Lane growth, health and estimates from one outcome. */
    private void feedback(Held held, Target target, Outcome o) {
        Code code = o.code();
        boolean fetch = o.cacheStatus() == CacheStatus.MISS || o.cacheStatus() == CacheStatus.MISS_FETCHING;
        // Late answers are failures: a long waiting room never says "full". Fetches tell of the ledger.
        boolean failed = code == Code.FULL || code == Code.CONNECT_FAILED;
        failed |= code == Code.ERROR && target == origin;
        failed |= code == Code.TIMEOUT && (held.fetch == null || target.lastAnswer < held.sentAt);
        failed |= code == Code.OK && !fetch && target.late(o.elapsed(), held.type.targetLatency());
        if (failed) {
            held.lane.goUp();
        } else if (!code.endedLocally && code != Code.TIMEOUT && code != Code.RESET && code != Code.ERROR) {
            held.lane.success();
        }
        tells |= o.cacheStatus() != CacheStatus.NONE;
        if (ledger != null && (held.fetch != null || fetch)) {
            Lane lane = held.fetch != null ? held.fetch : ledger.earliest();
            // Who left waited too long too. Where few fail a class, an error after good answers is theirs.
            int type = held.request.requestClass();
            if (code == Code.ERROR && (target.faults(type).sum < BROKEN || alike(type))
                    || code == Code.TIMEOUT
                    || code == Code.CANCELLED && o.elapsed() > held.type.targetLatency()
                    || fetch && o.elapsed() > FETCH_LATE * held.type.targetLatency()) {
                lane.goUp();
            } else if (code == Code.OK) { // a hit too: what fails is counted over both
                lane.success();
            }
            if (fetch && code == Code.OK) {
                ledger.servedOne(o.elapsed());
                if (held.fetch != null) {
                    fetching.answered(held.asked, originTime.deviation);
                }
                originTime.add(o.elapsed());
            }
        }
        if (code == Code.OK || code == Code.FULL || code == Code.ERROR || code == Code.MISS) {
            heard(target);
        } else if (!o.code().endedLocally) {
            int weight = code == Code.RESET ? BROKEN : SILENT;
            doubt(target, held.sentAt, code == Code.CONNECT_FAILED ? REFUSED : weight);
        }
        if (code == Code.ERROR) {
            fault(held, target, SILENT);
        }
        if (code == Code.OK || code == Code.MISS) {
            Faults faults = target.faults(held.request.requestClass());
            faults.sum /= 2;
            faults.leaveOutIfFailing(faults.out);
            target.servedOne(o.elapsed());
            if (target != origin && target.warmth() == 1) {
                carried.add(now);
            }
        }
        if (code == Code.OK) {
            (target == origin ? originTime : cacheTimes.get(held.request.requestClass())).add(o.elapsed());
            retries = Math.min(RETRY_BURST, retries + RETRY_SHARE);
            comeBack.recordServed();
            Home home = target == origin || held.request.key() == null ? null : table.get(held.request.key());
            if (home != null && !held.request.write() && tells) {
                if (fetch && held.fetch == null) {
                    keeps = Math.max(shortestDeadline, keeps * KEEPS_DOWN);
                } else if (!fetch && held.fetch != null && home.kept == target) {
                    keeps = Math.min(FORGOTTEN * settings.coldTime(), keeps * KEEPS_UP);
                }
                if (fetch || home.kept != target) {
                    home.kept = target;
                    home.keptAt = now;
                }
            }
            if (home != null) {
                home.servedOne(now, targets.size() / arrivals.at(now));
            }
            target.slowness = Measures.smooth(target.slowness, (double) o.elapsed() / held.type.targetLatency());
        }
    }

    /** What follows an outcome that did not end the request. */
    private void react(Held held, Target target, Outcome o) {
        // A first break leaves the key its home: elsewhere it would be a miss.
        boolean broke = o.code() == Code.RESET && held.attempts == 1;
        if (o.code() != Code.MISS && !o.code().endedLocally && o.code() != Code.ERROR && !broke) {
            held.failedAt.add(target);
        }
        long wait = held.lane.currentInterval;
        if (o.code() == Code.MISS) {
            held.missed = held.unrationed = true;
            route(held);
            return;
        }
        if (target == origin && !held.request.write() && o.code() != Code.FULL) {
            release(held);
        }
        boolean late = now + wait + typical(held, target) > held.request.expiresAt();
        if (!o.code().endedLocally && retries < 1 || late || !mayRepeat(held) || !mayResend(held)) {
            conclude(held, retries < 1 ? UnservedReason.NO_BUDGET : UnservedReason.SPENT);
        } else {
            retries -= o.code().endedLocally ? 0 : 1;
            alarms.set(now + wait, () -> route(held));
        }
    }

    /** Rule: what may have run is sent again only within what its class allows. */
    private boolean mayRepeat(Held held) {
        boolean within = held.type.effect() == Effect.KEYED && now < held.ranSince + held.type.deduplicationWindow();
        return held.ranAt == null || held.type.effect() == Effect.SAFE || within;
    }

    /** Rule: the ration of further attempts, checked before the wait and at each send. */
    private boolean mayResend(Held held) {
        long since = now - settings.resendSpan();
        boolean free = settings.resendSpan() == 0 || held.attempts == 0 || held.unrationed;
        double most = settings.freeResends() + settings.resendShare() * (free ? 0 : taken.countAfter(since));
        return free || resent.countAfter(since - 1) < Math.floor(most);
    }

    private boolean sameGroup(Held held, Target target) {
        Server ran = held.type.effect() == Effect.KEYED ? held.ranAt : null;
        boolean any = ran == null || held.type.group() == Group.ALL;
        boolean zone = held.type.group() == Group.ZONE;
        return any || (zone ? ran.zone() == target.entry.zone() : ran.cell() == target.entry.cell());
    }

    /** The final answer to a request that was not served: a refusal where that is true, else a failure. */
    private void conclude(Held held, UnservedReason why) {
        if (held.answered) {
            return;
        }
        held.answered = true;
        given[why.ordinal()]++;
        if (held.out != null && held.fetch != null) {
            held.fetch.goUp(); // waited to its end, most likely for the ledger
        } else if (held.out != null && held.out.lastAnswer >= held.sentAt) {
            fault(held, held.out, BROKEN); // waited to the end, while others got answers
        }
        boolean refusable = held.ranAt == null && held.out == null || held.type.effect() == Effect.SAFE;
        refusable |= held.type.effect() == Effect.KEYED && held.type.group() == Group.ALL;
        if (refusable) {
            Target at = held.queuedAt;
            long wait = at == null ? 0 : Math.max(0, at.leaves(at.queue.size()) - now);
            long longest = settings.retryAfter() ? settings.maxRetryAfter() : 0;
            actions.refuse(held.request.id(), Math.min(comeBack.recordRefused(wait, random.nextDouble()), longest));
        } else {
            actions.fail(held.request.id());
        }
        finish(held);
    }

    private void finish(Held held) {
        if (held.queuedAt != null) {
            held.queuedAt.queue.remove(held);
            held.queuedAt = null;
        }
        homeless.remove(held);
        release(held);
        if (held.out == null) {
            letGo(held, false, true);
            open.remove(held.request.id());
        }
    }

    /** Ends a fetch that others here wait for; they ask the cache again. */
    private void release(Held leader) {
        String key = leader.request.key();
        if (key != null && fetches.get(key) == leader) {
            fetches.remove(key);
            leader.followers.forEach(follower -> follower.missed = false);
            reroute(leader.followers);
        }
    }

    // ---- servers and keys

    private void reroute(Collection<Held> waiting) {
        List<Held> moved = List.copyOf(waiting);
        waiting.clear();
        for (Held held : moved) {
            held.queuedAt = null;
            route(held);
        }
    }

    private void heard(Target target) {
        if (target.zone != null) {
            heard(target.zone);
        }
        for (Target t : target.suspect ? targets.values() : List.<Target>of()) {
            if (target.covers(t) && now - t.lastAnswer > shortestDeadline) {
                t.cool(now);
            }
            if (target.covers(t)) {
                revive(t); // a zone's silence explains that of its servers
            }
        }
        revive(target);
        target.lastAnswer = now;
        target.doubts = 0;
    }

    private void revive(Target target) {
        if (target.suspect) {
            actions.log("server answers again: " + target.id);
        }
        target.suspect = false;
        target.trials.currentInterval = 0;
    }

    /** A request sent at {@code since} has no answer, later than usual or for good: does anything come? */
    private void doubt(Target target, long since, int weight) {
        if (target == origin || target.lastAnswer >= since) {
            return;
        }
        if (target.suspect) {
            target.trials.goUp();
        } else if ((target.doubts += weight) >= (target.zone == null ? ZONE_CONVICTED : CONVICTED)) {
            suspect(target);
        }
        if (target.zone != null && zones.values().stream().anyMatch(zone -> zone.lastAnswer >= since)) {
            doubt(target.zone, since, Math.min(weight, SILENT));
        }
    }

    private void fault(Held held, Target target, double weight) {
        if (target != origin) {
            int type = held.request.requestClass();
            target.faults(type).sum = Math.min(2 * CONVICTED, target.faults(type).sum + weight);
            boolean alike = alike(type);
            targets.values().forEach(t -> t.faults(type).leaveOutIfFailing(!alike));
        }
    }

    /** Whether so many servers fail a class that it comes from behind them. */
    private boolean alike(int type) {
        return FAULTY_PART * ready(t -> t.faults(type).failing()) > ready(t -> true);
    }

    private long ready(Predicate<Target> which) {
        return targets.values().stream().filter(t -> t.ready() && which.test(t)).count();
    }

    /** A silent server or zone counts as displaced until a trial is answered; its work is called back. */
    private void suspect(Target target) {
        long suspects = ready(t -> t.suspect);
        if (target.zone != null && SUSPECT_PART * (suspects + 1) > Math.max(ready(t -> true), SUSPECT_PART)) {
            return; // Silence on many sides is overload or our own pause; moving their keys would add to it.
        }
        actions.log("server silent: " + target.id);
        target.suspect = true;
        someSuspect = true;
        target.trials.goUp();
        target.trialAt = now + target.trials.currentInterval;
        for (Target t : targets.values()) {
            if (target.covers(t)) {
                callBack(t);
            }
        }
    }

    private void callBack(Target target) {
        actions.closeIdle(target.id);
        boolean may = settings.mayCancel() && settings.resendSpan() == 0; // rations are not for moving work
        for (Held h : target.inFlight) {
            if (may && !h.answered && h.type.effect() == Effect.SAFE && h.attempts < h.most) {
                actions.cancel(h.request.id(), h.attempts - 1);
            }
        }
        reroute(target.queue);
    }

    private Target choose(Held held) {
        trials = Math.min(1, trials + (held.attempts == 0 ? TRIAL_SHARE : 0));
        boolean trial = held.type.effect() == Effect.SAFE && held.attempts == 0 && trials >= 1 && someSuspect;
        String key = held.request.key();
        Home home = key == null ? new Home(now) : table.computeIfAbsent(key, k -> new Home(now));
        if (now - home.used > settings.coldTime()) {
            home.target = null;
        }
        home.used = now;
        Target target = home.target;
        if (target != null && !trial && fits(held, target) && target.load() * unit <= HIGH_FLOOR) {
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
            if (t.ready() && sameGroup(held, t)) {
                (t.silent() ? doubtful : usable).add(t);
                weights += t.entry.weight();
                counts += t.queue.size() + t.inFlight.size();
            }
        }
        someSuspect = !doubtful.isEmpty();
        for (Target t : doubtful) {
            if (trial && now >= Math.max(t.trialAt, t.zone.suspect ? t.zone.trialAt : 0)) {
                trials = 0;
                t.trialAt = now + (t.zone.suspect ? 2 * shortestDeadline : t.trials.currentInterval);
                t.zone.trialAt = now + t.zone.trials.currentInterval;
                return t;
            }
        }
        usable = usable.isEmpty() ? doubtful : usable;
        if (usable.isEmpty()) {
            return null;
        }
        double mean = counts / weights;
        unit = weights / usable.size();
        if (target == null || !usable.contains(target)) {
            home.target = fewest(held, home, usable, mean, null);
            return home.target;
        }
        boolean crowded = target.load() > Math.max(HIGH * mean, HIGH_FLOOR / unit);
        if (!crowded && fits(held, target)) {
            return target;
        }
        boolean copied = !crowded && usable.contains(home.kept) && fits(held, home.kept); // saves a fetch
        Target other = copied ? home.kept : fewest(held, home, usable, mean, target);
        other = other == null ? target : other;
        home.target = crowded && other.load() < Math.max(mean, LOW_FLOOR / unit) ? other : home.target;
        return crowded ? home.target : other;
    }

    private boolean fits(Held held, Target to) {
        boolean free = to.ready() && !to.silent() && sameGroup(held, to) && to.coldWait() <= now;
        return free && !to.faults(held.request.requestClass()).shut() && !held.failedAt.contains(to);
    }

    /** The server with fewest held and in flight; under the low bound the key's rendezvous decides. */
    private Target fewest(Held held, Home home, List<Target> usable, double mean, Target not) {
        String key = held.request.key();
        long keyHash = key == null ? random.nextLong() : Measures.hash(key) + (salt & home.copies - 1);
        Target best = null;
        double bestLoad = 0;
        double bestRank = 0;
        double low = Math.max(mean, LOW_FLOOR / unit);
        for (int pass = 0; pass < 2 && best == null; pass++) {
            for (Target target : usable) {
                if (target == not || pass == 0 && !fits(held, target)) {
                    continue;
                }
                double load = target.load() < low ? 0 : target.load();
                double near = home.copies > 1 && target.entry.zone() == settings.zone() ? NEAR : 1;
                double rank = -near * target.entry.weight() / Math.log(Measures.unit(keyHash ^ target.hash));
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
