// The one definition of easylogging++'s global state.
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
