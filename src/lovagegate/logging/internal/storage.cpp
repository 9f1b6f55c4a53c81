// Defines the global state of easylogging++.
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
