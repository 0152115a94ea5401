/* Claims of one idempotency key by several VMs on one log stream.

   An append is answered, rejected for certain, or lost: a lost one takes effect at any later time or never. A VM sends the
   call when it has read the log up to its own record and no other claim of the key is before it. A VM may stop at any
   step, and may give up waiting at any time. */

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

/* An append whose answer was lost. */
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
        assert(!saidNotRun)
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
    bool saidNotRun = false;
    bool isDecided = false;

    do
    :: tries < 2 && !isAcknowledged ->
        /* A retry has the same id; readers take the first record of an id. */
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
            /* Granted too late: the sole claimant knows that nothing was sent. */
            :: saidNotRun = true
            fi
        :: !isDecided && stream[position - 1] == self && first != self -> isDecided = true
        :: else
        fi
    :: !isDecided && tries > 0 ->
        /* Gives up: certain only when no append can be in the log or on its way. */
        isDecided = true;
        if
        :: !mayBeInLog && !isAcknowledged -> saidNotRun = true; break
        :: else
        fi
    :: break
    od;
    assert(!(hasSent && saidNotRun))
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
