#include "rig_type.h"
