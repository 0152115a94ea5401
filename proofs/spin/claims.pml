/* Several VMs claim one idempotency key by appending records to one log stream. The assertions: the call is sent at most
   once, and no VM both sends it and reports it as not run.

   An append is acknowledged, definitely rejected, or its answer is lost; in the last case it takes effect at any later
   time or never. A VM sends the call once it has read the log up to its own record and found no earlier claim of the
   key. A VM may stop at any step, and may stop waiting for the log at any time.

   With byAcknowledgement, the control, a VM may send the call as soon as its append is acknowledged, if it has read no
   claim of another VM. The verifier must then find an error. */

#define vms 2
#define maximumLog 4

byte stream[maximumLog];
byte length = 0;
byte sends = 0;

inline append(claimant)
{
    d_step {
        if
        :: length < maximumLog -> stream[length] = claimant; length++
        :: else
        fi
    }
}

/* An append whose answer was lost: takes effect at any later time or never. */
proctype delivery(byte claimant)
{
    if
    :: append(claimant)
    :: skip
    fi
}

inline sendCall()
{
    d_step {
        hasSent = true;
        sends++;
        assert(sends <= 1);
        assert(!reportedNotRun)
    }
}

proctype vm(byte self)
{
    byte position = 0;
    byte first = 0;
    byte tries = 0;
    bool mayBeInLog = false;
    bool isAcknowledged = false;
    bool hasSent = false;
    bool reportedNotRun = false;
    bool isDecided = false;

    do
    :: tries < 2 && !isAcknowledged ->
        /* A retry has the same record id; readers ignore all but the first record of an id. */
        tries++;
        if
        :: append(self); isAcknowledged = true
        :: run delivery(self); mayBeInLog = true
        :: skip
        fi
#ifdef byAcknowledgement
    :: isAcknowledged && !isDecided && (first == 0 || first == self) ->
        isDecided = true;
        sendCall()
#endif
    :: position < length ->
        d_step {
            if
            :: first == 0 -> first = stream[position]
            :: else
            fi;
            position++
        }
        if
        :: !isDecided && stream[position - 1] == self && first == self ->
            isDecided = true;
            if
            :: sendCall()
            /* Granted too late to send the call. Only this VM could have sent it, so it has not run. */
            :: reportedNotRun = true
            fi
        :: !isDecided && stream[position - 1] == self && first != self -> isDecided = true
        :: else
        fi
    :: !isDecided && tries > 0 ->
        /* Stops waiting. Reports the call as not run only if its claim cannot be in the log now or later. */
        isDecided = true;
        if
        :: !mayBeInLog && !isAcknowledged -> reportedNotRun = true; break
        :: else
        fi
    :: break
    od;
    assert(!(hasSent && reportedNotRun))
}

init
{
    byte index = 1;
    atomic {
        do
        :: index <= vms -> run vm(index); index++
        :: else -> break
        od
    }
}
