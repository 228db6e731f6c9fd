-- Every setting that an operators' script may return.
return {
    idle_keep_s = 12.5,
    slack_pad = 2.25,
    reserve_deviations = 3.5,
    move_loss_share = 0.0625,
    reserve = function(class, proposed)
        if class == "lens-render" then return proposed + 7 end
        return proposed
    end,
    estimate_s = function(class, owner_estimate, proposed)
        if class == "lens-render" then return owner_estimate * 2 + proposed end
        return proposed
    end,
}
